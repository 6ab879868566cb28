package control

import (
	"context"
	"time"
)

// proofRetryMinimum is the pause after a proof that failed, which doubles with each further one up to the period of the
// proofs. After a start of all nodes the first proof fails while the others do not listen yet, and all that depends on
// it waits. A shorter pause costs calls to voters that are down.
const proofRetryMinimum = 25 * time.Millisecond

// proofSchedule says when the next proof is due.
type proofSchedule struct {
	period time.Duration
	pause  time.Duration // after the latest failed proof, 0 if the latest one succeeded
}

// next returns the pause after a proof.
func (s *proofSchedule) next(succeeded bool) time.Duration {
	if succeeded {
		s.pause = 0
		return s.period
	}
	s.pause = min(max(2*s.pause, proofRetryMinimum), s.period)
	return s.pause
}

// proveRepeatedly makes a proof at once, then in each period, whenever wake is signalled, and sooner after a proof that failed,
// until ctx ends. prove reports whether it succeeded.
func proveRepeatedly(ctx context.Context, period time.Duration, wake <-chan struct{}, prove func(context.Context) bool) {
	schedule := proofSchedule{period: period}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wake:
		}
		timer.Reset(schedule.next(prove(ctx)))
	}
}
