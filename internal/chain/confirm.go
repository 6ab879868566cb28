package chain

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/view"
)

// confirmTimeout bounds how long the voters are waited for in ConfirmView.
const confirmTimeout = 500 * time.Millisecond

// ConfirmView proves that, when it was called, no view after the one in force here had been decided, and gives that view. A
// majority of its voters say that they have accepted none: a later view needs the votes of a majority, and any two have a
// voter in common. Unlike a barrier that needs neither all members nor the disk, so that one lost member does not hold it up.
func (r *Reconfigurer) ConfirmView(ctx context.Context) (view.View, error) {
	v := r.node.View()
	if !v.Has(r.self().Replica) {
		return view.View{}, fault.New(fault.NotReady, "this replica is not in the view")
	}
	if err := r.confirmByMajority(ctx, v, v.Electorate()); err != nil {
		return view.View{}, err
	}
	return v, nil
}

// confirmByMajority succeeds once so many of some voters as are a majority of all have a view on their disks, and have
// accepted no later one.
func (r *Reconfigurer) confirmByMajority(ctx context.Context, v view.View, voters []view.Member) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answers := make(chan bool, len(voters))
	for _, voter := range voters {
		go func() { answers <- r.confirms(ctx, v, voter) }()
	}
	confirmed := 0
	for range voters {
		if <-answers {
			confirmed++
		}
		if confirmed >= v.Majority() {
			return nil
		}
	}
	return fault.New(fault.NotReady, "%d of %d voters confirm view %d", confirmed, len(voters), v.Epoch)
}

func (r *Reconfigurer) confirms(ctx context.Context, v view.View, voter view.Member) bool {
	if voter.Replica == r.self().Replica {
		return r.acceptor.confirms(v.Epoch)
	}
	response, err := r.ask(ctx, voter.Address, agreementRequest{confirm: v.Epoch})
	return err == nil && response.confirmed
}

// ConfirmCurrent proves that this replica has applied all that was committed anywhere when it was called. It does not need all
// members: what is committed in the newest view has passed through each of its members, so a complete one that has applied all
// that it has received lacks nothing. While entries are under way that cannot be told, and a barrier has to be asked for.
func (r *Reconfigurer) ConfirmCurrent(ctx context.Context) error {
	v, err := r.ConfirmView(ctx)
	if err != nil {
		return err
	}
	if status := r.node.Status(); status.Epoch != v.Epoch || !status.Complete || status.Applied < status.LastAppended {
		return fault.New(fault.NotReady, "%d entries of %d are applied here", status.Applied, status.LastAppended)
	}
	return nil
}
