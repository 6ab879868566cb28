package control

import (
	"context"
	"time"

	"nickelline/internal/pause"
)

// minProofRetryDelay is the delay before the retry of a failed proof. It doubles with each further failure, up to the period of
// the proofs. When all nodes start at once, the first proof fails as the others do not listen yet, and everything that needs a
// proof waits for the retry. A shorter delay would cost more calls to voters that are down.
const minProofRetryDelay = 25 * time.Millisecond

// proofSchedule computes the delay before the next proof, with an exponential backoff after failures.
type proofSchedule struct {
	period time.Duration
	delay  time.Duration // after the latest failed proof, 0 if the latest proof succeeded
}

// next returns the delay after a proof.
func (s *proofSchedule) next(succeeded bool) time.Duration {
	if succeeded {
		s.delay = 0
		return s.period
	}
	s.delay = min(max(2*s.delay, minProofRetryDelay), s.period)
	return s.delay
}

// proveRepeatedly calls prove at once, then once per period and whenever wake is signalled, until ctx ends. It calls prove
// sooner after a failure, which prove reports by returning false.
func proveRepeatedly(ctx context.Context, period time.Duration, wake <-chan struct{}, prove func(context.Context) bool) {
	schedule := proofSchedule{period: period}
	pause.Repeat(ctx, wake, func() time.Duration { return schedule.next(prove(ctx)) })
}
