package batchcall

import (
	"net/netip"
	"time"

	"capnproto.org/go/capnp/v3"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall/batchcallwire"
	"nickelline/internal/batch/batchwire"
	"nickelline/internal/capnpcodec"
	"nickelline/internal/peer"
)

// messageBytes bounds what a message takes beside keys, jobs, results and bodies.
const messageBytes = 256

// marshal makes the message of a kind.
func marshal[T any](kind peer.Kind, size int, newRoot func(*capnp.Segment) (T, error), fill func(T) error) (peer.Message, error) {
	body, err := capnpcodec.Marshal(size, newRoot, fill)
	return peer.Message{Kind: kind, Body: body}, err
}

// Encode writes a submission.
func (r *SubmitRequest) Encode() (peer.Message, error) {
	return marshal(KindSubmit, messageBytes+batch.JobSize(&r.Job), batchcallwire.NewRootSubmitRequest, func(root batchcallwire.SubmitRequest) error {
		root.SetPartition(r.Partition)
		root.SetMaxQueuedTokens(r.MaxQueuedTokens)
		job, err := root.NewJob()
		if err != nil {
			return err
		}
		return batch.EncodeJob(job, &r.Job)
	})
}

// DecodeSubmitRequest reads a submission. Bodies are parts of the message.
func DecodeSubmitRequest(body []byte) (*SubmitRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootSubmitRequest)
	if err != nil {
		return nil, err
	}
	encoded, err := root.Job()
	if err != nil {
		return nil, err
	}
	job, err := batch.DecodeJob(encoded)
	if err != nil {
		return nil, err
	}
	return &SubmitRequest{Partition: root.Partition(), Job: job, MaxQueuedTokens: root.MaxQueuedTokens()}, nil
}

// Encode writes an offer.
func (r *OfferRequest) Encode() (peer.Message, error) {
	offer := &r.Offer
	size := messageBytes + batch.KeySize(offer.Key) + len(offer.Route)
	return marshal(KindOffer, size, batchcallwire.NewRootOfferRequest, func(root batchcallwire.OfferRequest) error {
		root.SetPartition(r.Partition)
		root.SetTokens(offer.Tokens)
		root.SetMaxQueuedTokens(offer.MaxQueuedTokens)
		if err := root.SetRoute(offer.Route); err != nil {
			return err
		}
		return encodeKey(root.NewKey, offer.Key)
	})
}

// DecodeOfferRequest reads an offer.
func DecodeOfferRequest(body []byte) (*OfferRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootOfferRequest)
	if err != nil {
		return nil, err
	}
	r := &OfferRequest{
		Partition: root.Partition(),
		Offer:     batch.Offer{Tokens: root.Tokens(), MaxQueuedTokens: root.MaxQueuedTokens()},
	}
	if r.Offer.Route, err = root.Route(); err != nil {
		return nil, err
	}
	r.Offer.Key, err = decodeKey(root.Key)
	return r, err
}

// Encode writes a request for results.
func (r *ResultsRequest) Encode() (peer.Message, error) {
	return marshal(KindResults, messageBytes+batch.KeySize(r.Key), batchcallwire.NewRootResultsRequest, func(root batchcallwire.ResultsRequest) error {
		root.SetPartition(r.Partition)
		root.SetStartAfter(uint32(r.StartAfter))
		root.SetWaitMs(uint32(r.Wait.Milliseconds()))
		root.SetMaxBytes(uint32(r.MaxBytes))
		return encodeKey(root.NewKey, r.Key)
	})
}

func encodeKey(add func() (batchwire.Key, error), k batch.Key) error {
	key, err := add()
	if err != nil {
		return err
	}
	return batch.EncodeKey(key, k)
}

func decodeKey(get func() (batchwire.Key, error)) (batch.Key, error) {
	key, err := get()
	if err != nil {
		return batch.Key{}, err
	}
	return batch.DecodeKey(key)
}

// DecodeResultsRequest reads a request for results.
func DecodeResultsRequest(body []byte) (*ResultsRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootResultsRequest)
	if err != nil {
		return nil, err
	}
	key, err := decodeKey(root.Key)
	return &ResultsRequest{
		Partition:  root.Partition(),
		Key:        key,
		StartAfter: int(root.StartAfter()),
		Wait:       time.Duration(root.WaitMs()) * time.Millisecond,
		MaxBytes:   int(root.MaxBytes()),
	}, err
}

// Encode writes a request for a body.
func (r *BodyRequest) Encode() (peer.Message, error) {
	return marshal(KindBody, messageBytes+batch.KeySize(r.Key)+len(r.Identifier), batchcallwire.NewRootBodyRequest, func(root batchcallwire.BodyRequest) error {
		root.SetPartition(r.Partition)
		if err := root.SetIdentifier(r.Identifier); err != nil {
			return err
		}
		return encodeKey(root.NewKey, r.Key)
	})
}

// DecodeBodyRequest reads a request for a body.
func DecodeBodyRequest(body []byte) (*BodyRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootBodyRequest)
	if err != nil {
		return nil, err
	}
	identifier, err := root.Identifier()
	if err != nil {
		return nil, err
	}
	key, err := decodeKey(root.Key)
	return &BodyRequest{Partition: root.Partition(), Key: key, Identifier: identifier}, err
}

// Encode writes a request to end a job.
func (r *EndRequest) Encode() (peer.Message, error) {
	return marshal(KindEnd, messageBytes+batch.KeySize(r.Key), batchcallwire.NewRootEndRequest, func(root batchcallwire.EndRequest) error {
		root.SetPartition(r.Partition)
		return encodeKey(root.NewKey, r.Key)
	})
}

// DecodeEndRequest reads a request to end a job.
func DecodeEndRequest(body []byte) (*EndRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootEndRequest)
	if err != nil {
		return nil, err
	}
	key, err := decodeKey(root.Key)
	return &EndRequest{Partition: root.Partition(), Key: key}, err
}

// Encode writes the answer to a request of a kind.
func (r *Reply) Encode(kind peer.Kind) (peer.Message, error) {
	return marshal(kind, r.size(), batchcallwire.NewRootReply, r.fill)
}

func (r *Reply) size() int {
	size := messageBytes + len(r.Body)
	if r.Page != nil {
		for i := range r.Page.Results {
			size += batch.ListedSize(&r.Page.Results[i])
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

// DecodeReply reads an answer. Contents and body are parts of the message.
func DecodeReply(body []byte) (*Reply, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootReply)
	if err != nil {
		return nil, err
	}
	r := &Reply{}
	switch root.Which() {
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
