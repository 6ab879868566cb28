package chain

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/view"
)

// actAsLearner makes this replica, which the view does not name, receive from a member, and asks to join once it has
// caught up. It returns the time until the next call, 0 if none is needed.
func (r *Reconfigurer) actAsLearner(ctx context.Context, v view.View) time.Duration {
	now := r.now()
	r.chooseSource(v, now)
	if !r.node.CaughtUp() {
		return r.awaitCatchUp(ctx)
	}
	r.sourceSince = now
	if r.isLeaving() {
		return 0
	}
	return r.requestJoin(ctx, v)
}

// chooseSource keeps the source of a learner as long as the source is reachable and the learner has caught up within
// learnTimeout. Otherwise it takes the next reachable member, beginning with the tail.
func (r *Reconfigurer) chooseSource(v view.View, now time.Duration) {
	reachable := r.reachableMembers(v)
	current := slices.Index(reachable, r.source)
	if current >= 0 && now-r.sourceSince < learnTimeout {
		return
	}
	if len(reachable) == 0 {
		return
	}
	r.source = reachable[(current+1)%len(reachable)]
	r.sourceSince = now
	r.node.follow(r.source)
}

// reachableMembers returns the addresses of the members that may be up, the tail first.
func (r *Reconfigurer) reachableMembers(v view.View) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, candidate := range slices.Backward(r.memberCandidates(v)) {
		if candidate.Reachable {
			addresses = append(addresses, candidate.Address)
		}
	}
	return addresses
}

// awaitCatchUp waits for joinPeriod, or until this replica has caught up or is a member. It returns the time until the
// next call of act.
func (r *Reconfigurer) awaitCatchUp(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, joinPeriod)
	defer cancel()
	_ = r.node.Learn(bounded, r.source)
	return retryMinimum
}

// requestJoin tells the first member that answers, beginning with the tail, that this replica has caught up. It does
// nothing unless the tail, which would be its predecessor, can be reached. It returns the time until the next request.
func (r *Reconfigurer) requestJoin(ctx context.Context, v view.View) time.Duration {
	if tail, ok := v.Tail(); ok {
		if _, err := r.call(ctx, tail.Address, agreementRequest{}); err != nil {
			return joinPeriod
		}
	}
	for _, to := range slices.Backward(r.reachableMembers(v)) {
		response, err := r.call(ctx, to, agreementRequest{join: true})
		if err != nil {
			continue
		}
		if response.view.Epoch > v.Epoch {
			return retryMinimum
		}
		break
	}
	if len(v.Members) >= r.options.Policy.MaximumMembers {
		return standbyPeriod
	}
	return joinPeriod
}
