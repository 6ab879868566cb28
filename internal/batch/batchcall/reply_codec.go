package batchcall

import (
	"net/netip"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall/batchcallwire"
	"nickelline/internal/batch/batchwire"
	"nickelline/internal/capnpcodec"
	"nickelline/internal/peer"
)

// Encode returns the message that answers a request of the given kind.
func (r *Reply) Encode(kind peer.Kind) (peer.Message, error) {
	return marshal(kind, r.size(), batchcallwire.NewRootReply, r.fill)
}

func (r *Reply) size() int {
	size := messageBytes + len(r.Body)
	if r.Page != nil {
		for i := range r.Page.Results {
			size += batch.ListedResultSize(&r.Page.Results[i])
		}
	}
	return size
}

func (r *Reply) fill(root batchcallwire.Reply) error {
	switch {
	case r.Redirect != nil:
		return encodeRedirect(root, r.Redirect)
	case r.Page != nil:
		return encodePage(root, r.Page)
	case r.Body != nil:
		return root.SetBody(r.Body)
	}
	root.SetDone()
	return nil
}

func encodeRedirect(root batchcallwire.Reply, r *Redirect) error {
	redirect, err := root.NewRedirect()
	if err != nil {
		return err
	}
	redirect.SetEpoch(r.Epoch)
	if !r.Head.IsValid() {
		return nil
	}
	redirect.SetHeadPort(r.Head.Port())
	return redirect.SetHeadIp(r.Head.Addr().AsSlice())
}

func encodePage(root batchcallwire.Reply, p *batch.Page) error {
	page, err := root.NewPage()
	if err != nil {
		return err
	}
	page.SetTotal(uint32(p.Total))
	page.SetNext(uint32(p.Next))
	results, err := page.NewResults(int32(len(p.Results)))
	if err != nil {
		return err
	}
	for i := range p.Results {
		result := results.At(i)
		result.SetState(batchwire.State(p.Results[i].State))
		if err := result.SetIdentifier(p.Results[i].Identifier); err != nil {
			return err
		}
		if err := result.SetContent(p.Results[i].Content); err != nil {
			return err
		}
	}
	return nil
}

// DecodeReply decodes a reply. Its contents and body share the memory of the message.
func DecodeReply(body []byte) (*Reply, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootReply)
	if err != nil {
		return nil, err
	}
	r := &Reply{}
	switch root.Which() {
	case batchcallwire.Reply_Which_done:
	case batchcallwire.Reply_Which_redirect:
		r.Redirect, err = decodeRedirect(root)
	case batchcallwire.Reply_Which_page:
		r.Page, err = decodePage(root)
	case batchcallwire.Reply_Which_body:
		r.Body, err = root.Body()
	}
	return r, err
}

func decodeRedirect(root batchcallwire.Reply) (*Redirect, error) {
	redirect, err := root.Redirect()
	if err != nil {
		return nil, err
	}
	r := &Redirect{Epoch: redirect.Epoch()}
	ip, err := redirect.HeadIp()
	if err != nil {
		return nil, err
	}
	if address, ok := netip.AddrFromSlice(ip); ok {
		r.Head = netip.AddrPortFrom(address, redirect.HeadPort())
	}
	return r, nil
}

func decodePage(root batchcallwire.Reply) (*batch.Page, error) {
	page, err := root.Page()
	if err != nil {
		return nil, err
	}
	results, err := page.Results()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(results); err != nil {
		return nil, err
	}
	p := &batch.Page{Total: int(page.Total()), Next: int(page.Next()), Results: make([]batch.ListedResult, results.Len())}
	for i := range p.Results {
		result := results.At(i)
		p.Results[i].State = batch.State(result.State())
		if p.Results[i].Identifier, err = result.Identifier(); err != nil {
			return nil, err
		}
		if p.Results[i].Content, err = result.Content(); err != nil {
			return nil, err
		}
	}
	return p, nil
}
