package chain

import (
	"context"
	"net/netip"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// handle answers a request of another replica. A replica whose disk is impaired returns an error, so that its
// neighbours count it as unresponsive.
func (r *Reconfigurer) handle(q agreementRequest) (agreementResponse, error) {
	var a agreementResponse
	if r.node.Impaired() {
		return a, fault.New(fault.NotReady, "the disk of this replica does not work")
	}
	switch {
	case q.prepare != nil:
		promise, err := r.voter.prepare(*q.prepare)
		if err != nil {
			return agreementResponse{}, err
		}
		a.promise = &promise
	case q.accept != nil:
		accepted, err := r.voter.accept(*q.accept)
		if err != nil {
			return agreementResponse{}, err
		}
		a.accepted = &accepted
	case q.join:
		r.recordJoinRequest(q.sender)
	case q.confirm != 0:
		a.confirmed = r.voter.confirms(q.confirm)
	}
	a.view = r.node.View()
	return a, nil
}

// call sends a request to another replica, and installs the view in its answer if that is newer.
func (r *Reconfigurer) call(ctx context.Context, to netip.AddrPort, q agreementRequest) (agreementResponse, error) {
	q.chain = r.node.options.Chain
	q.sender = r.self()
	body, err := q.encode()
	if err != nil {
		return agreementResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := r.node.transport.Call(ctx, to, peer.Message{Kind: kindAgreement, Body: body})
	if err != nil {
		return agreementResponse{}, err
	}
	response, err := decodeAgreementResponse(answer.Body)
	if err != nil {
		return agreementResponse{}, err
	}
	if response.view.Epoch > 0 {
		r.node.Install(response.view)
	}
	r.node.sendNewerView(to, response.view.Epoch)
	return response, nil
}
