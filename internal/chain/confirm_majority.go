package chain

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/view"
)

// confirmTimeout bounds how long confirmByMajority waits for the voters.
const confirmTimeout = 500 * time.Millisecond

// confirmByMajority asks the given voters to confirm that a view is on their disks and that they have accepted no later
// one. It returns nil once the voters that have confirmed are a majority of all voters of the view.
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

// confirms reports whether a voter confirms that a view is the newest.
func (r *Reconfigurer) confirms(ctx context.Context, v view.View, voter view.Member) bool {
	if voter.Replica == r.self().Replica {
		return r.voter.confirms(v.Epoch)
	}
	response, err := r.call(ctx, voter.Address, agreementRequest{confirm: v.Epoch})
	return err == nil && response.confirmed
}
