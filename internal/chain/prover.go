package chain

import (
	"context"

	"nickelline/internal/fault"
	"nickelline/internal/view"
)

// Prover proves that the view or the state of this replica is current, before a service at this replica acts on it. It
// asks the voters and needs neither the whole chain nor the disk.
type Prover struct{ reconfigurer *Reconfigurer }

// NewProver returns a prover for the replica of a reconfigurer.
func NewProver(r *Reconfigurer) *Prover { return &Prover{reconfigurer: r} }

// ConfirmView proves that no view after the one in force here had been decided when it was called, and returns the view
// in force. A majority of its voters confirm that they have accepted no later one: a later view needs the votes of a
// majority, and any two majorities have a voter in common. Unlike a barrier, this needs neither all members nor the
// disk, so that one lost member does not delay it. The error is of kind fault.NotReady.
func (p *Prover) ConfirmView(ctx context.Context) (view.View, error) {
	r := p.reconfigurer
	v := r.node.View()
	if !v.Has(r.self().Replica) {
		return view.View{}, fault.New(fault.NotReady, "this replica is not in the view")
	}
	if err := r.confirmByMajority(ctx, v, v.Electorate()); err != nil {
		return view.View{}, err
	}
	return v, nil
}

// ConfirmCurrent proves that this replica has applied all that was committed anywhere when it was called. It does not
// need all members: what is committed in the newest view has passed through each of its members, so a complete member
// that has applied all that it has received lacks nothing. While entries are in flight it fails with fault.NotReady, and
// a barrier is needed.
func (p *Prover) ConfirmCurrent(ctx context.Context) error {
	v, err := p.ConfirmView(ctx)
	if err != nil {
		return err
	}
	if status := p.reconfigurer.node.Status(); status.Epoch != v.Epoch || !status.Complete || status.Applied < status.LastAppended {
		return fault.New(fault.NotReady, "applied up to entry %d of %d", status.Applied, status.LastAppended)
	}
	return nil
}
