package chain

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// handle answers a question of another replica. One that is impaired does not, so that its neighbours miss it.
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

// call puts a question to another replica, and installs its view if that is newer.
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

// discover asks for a view where none is known.
func (r *Reconfigurer) discover(ctx context.Context) time.Duration {
	to, ok := r.nextPeer()
	if !ok {
		return discoveryPeriod
	}
	response, err := r.call(ctx, to, agreementRequest{})
	if err == nil && response.view.Epoch > 0 {
		return retryMinimum
	}
	return discoveryPeriod
}

// checkView has another replica asked for its view now and again: a member that was dropped may have missed that.
func (r *Reconfigurer) checkView(ctx context.Context) {
	now := r.now()
	if now-r.viewCheckedAt < viewCheckPeriod/2 {
		return
	}
	r.viewCheckedAt = now
	if to, ok := r.nextPeer(); ok {
		go func() { _, _ = r.call(ctx, to, agreementRequest{}) }()
	}
}

// nextPeer gives one of the other replicas, each time the next one.
func (r *Reconfigurer) nextPeer() (netip.AddrPort, bool) {
	addresses := r.others()
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	r.peerIndex++
	return addresses[r.peerIndex%len(addresses)], true
}

// others gives the addresses of the other replicas that may be there.
func (r *Reconfigurer) others() []netip.AddrPort {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var addresses []netip.AddrPort
	for _, candidate := range r.candidates {
		if candidate.Reachable {
			addresses = append(addresses, candidate.Address)
		}
	}
	addresses = append(addresses, r.options.Seeds...)
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a netip.AddrPort) bool { return a == r.self().Address })
}
