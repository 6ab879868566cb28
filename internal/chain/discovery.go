package chain

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

// discover asks another replica for its view, as this replica knows none. It returns the time until the next attempt.
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

// checkView asks another replica for its view every few seconds, because this member may have been dropped by a view that
// it has missed.
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

// nextPeer returns the address of another replica, taking the replicas in turn. It reports false if there is none.
func (r *Reconfigurer) nextPeer() (netip.AddrPort, bool) {
	addresses := r.otherAddresses()
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	r.peerIndex++
	return addresses[r.peerIndex%len(addresses)], true
}

// otherAddresses returns the addresses of the other replicas that may be up.
func (r *Reconfigurer) otherAddresses() []netip.AddrPort {
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
