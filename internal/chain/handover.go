package chain

import (
	"context"
	"slices"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/view"
)

// HandOver has the voters agree on a view without this replica. It returns nil once that view, or a later one, is on the
// disks of a majority of its voters, not counting this replica, so that the disk of this replica is no longer needed. It
// also returns nil if this replica is not a member and can no longer become one. It fails with fault.NotReady if too few
// members would remain. The replica does not join again. Run must be running.
func (r *Reconfigurer) HandOver(ctx context.Context) error {
	r.mutex.Lock()
	r.leaving = true
	r.mutex.Unlock()
	if !r.awaitMembership(ctx, r.voter.leave()) {
		return nil
	}
	v := r.node.View()
	if next, ok := r.planNextView(v); !ok || next.Has(r.self().Replica) {
		return fault.New(fault.NotReady, "too few members would remain")
	}
	notify(r.wake)
	if err := r.node.wait(ctx, func() bool { return !r.node.replica.view.Has(r.self().Replica) }); err != nil {
		return err
	}
	return r.awaitMajorityOfOthers(ctx)
}

// awaitMembership reports whether this replica is a member, or becomes one before the given time.
func (r *Reconfigurer) awaitMembership(ctx context.Context, until time.Time) bool {
	bounded, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	_ = r.node.wait(bounded, func() bool { return r.node.replica.view.Has(r.self().Replica) })
	return r.node.View().Has(r.self().Replica)
}

// awaitMajorityOfOthers returns nil once the newest view is on the disks of a majority of its voters, not counting this
// replica.
func (r *Reconfigurer) awaitMajorityOfOthers(ctx context.Context) error {
	for {
		v := r.node.View()
		others := slices.DeleteFunc(slices.Clone(v.Electorate()), func(m view.Member) bool { return m.Replica == r.self().Replica })
		err := r.confirmByMajority(ctx, v, others)
		if err == nil || r.node.awaitRetry(ctx, v.Epoch) != nil {
			return err
		}
	}
}

// isLeaving reports whether this replica is handing over.
func (r *Reconfigurer) isLeaving() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.leaving
}
