package chain

import (
	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/chain/chainwire"
	"nickelline/internal/view"
)

// agreementRequest is a request to a replica that takes part in the agreement on views. At most one of prepare, accept,
// join and confirm is set; without one it asks for the replica's view only.
type agreementRequest struct {
	chain   uint32
	sender  view.Member
	prepare *view.Prepare
	accept  *view.Accept
	join    bool // the sender is a learner that has caught up
	// confirm asks whether the view of this epoch is the newest that the replica knows or has accepted; 0 if not set.
	confirm uint64
}

// agreementResponse carries the view of the replica that answers, and its answer to the request.
type agreementResponse struct {
	view     view.View
	promise  *view.Promise
	accepted *view.Accepted
	// confirmed is the answer to confirm.
	confirmed bool
}

func (q agreementRequest) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, chainwire.NewRootAgreementRequest, func(w chainwire.AgreementRequest) error {
		w.SetChain(q.chain)
		sender, err := view.EncodeMember(q.sender)
		if err != nil {
			return err
		}
		if err := w.SetSender(sender); err != nil {
			return err
		}
		return q.writeRequest(w)
	})
}

func (q agreementRequest) writeRequest(w chainwire.AgreementRequest) error {
	switch {
	case q.prepare != nil:
		data, err := view.EncodePrepare(*q.prepare)
		if err != nil {
			return err
		}
		return w.SetPrepare(data)
	case q.accept != nil:
		data, err := view.EncodeAccept(*q.accept)
		if err != nil {
			return err
		}
		return w.SetAccept(data)
	case q.join:
		w.SetJoin()
	case q.confirm != 0:
		w.SetConfirm(q.confirm)
	default:
		w.SetView()
	}
	return nil
}

func decodeAgreementRequest(data []byte) (agreementRequest, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootAgreementRequest)
	if err != nil {
		return agreementRequest{}, err
	}
	sender, err := r.Sender()
	if err != nil {
		return agreementRequest{}, err
	}
	q := agreementRequest{chain: r.Chain()}
	if q.sender, err = view.DecodeMember(sender); err != nil {
		return agreementRequest{}, err
	}
	return q, q.readRequest(r)
}

func (q *agreementRequest) readRequest(r chainwire.AgreementRequest) error {
	switch r.Which() {
	case chainwire.AgreementRequest_Which_prepare:
		data, err := r.Prepare()
		if err != nil {
			return err
		}
		m, err := view.DecodePrepare(data)
		q.prepare = &m
		return err
	case chainwire.AgreementRequest_Which_accept:
		data, err := r.Accept()
		if err != nil {
			return err
		}
		m, err := view.DecodeAccept(data)
		q.accept = &m
		return err
	case chainwire.AgreementRequest_Which_join:
		q.join = true
		return nil
	case chainwire.AgreementRequest_Which_confirm:
		q.confirm = r.Confirm()
		return nil
	case chainwire.AgreementRequest_Which_view:
		return nil
	}
	return merry.Errorf("request of unknown type %d", r.Which())
}

func (a agreementResponse) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, chainwire.NewRootAgreementResponse, func(w chainwire.AgreementResponse) error {
		known, err := view.Encode(a.view)
		if err != nil {
			return err
		}
		if err := w.SetView(known); err != nil {
			return err
		}
		return a.writeResponse(w)
	})
}

func (a agreementResponse) writeResponse(w chainwire.AgreementResponse) error {
	switch {
	case a.promise != nil:
		data, err := view.EncodePromise(*a.promise)
		if err != nil {
			return err
		}
		return w.SetPromise(data)
	case a.accepted != nil:
		data, err := view.EncodeAccepted(*a.accepted)
		if err != nil {
			return err
		}
		return w.SetAccepted(data)
	case a.confirmed:
		w.SetConfirmed(true)
		return nil
	}
	w.SetNothing()
	return nil
}

func decodeAgreementResponse(data []byte) (agreementResponse, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootAgreementResponse)
	if err != nil {
		return agreementResponse{}, err
	}
	known, err := r.View()
	if err != nil {
		return agreementResponse{}, err
	}
	var a agreementResponse
	if a.view, err = view.Decode(known); err != nil {
		return agreementResponse{}, err
	}
	return a, a.readResponse(r)
}

func (a *agreementResponse) readResponse(r chainwire.AgreementResponse) error {
	switch r.Which() {
	case chainwire.AgreementResponse_Which_promise:
		data, err := r.Promise()
		if err != nil {
			return err
		}
		m, err := view.DecodePromise(data)
		a.promise = &m
		return err
	case chainwire.AgreementResponse_Which_accepted:
		data, err := r.Accepted()
		if err != nil {
			return err
		}
		m, err := view.DecodeAccepted(data)
		a.accepted = &m
		return err
	case chainwire.AgreementResponse_Which_confirmed:
		a.confirmed = r.Confirmed()
	case chainwire.AgreementResponse_Which_nothing:
	}
	return nil
}
