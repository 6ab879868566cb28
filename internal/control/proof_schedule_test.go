package control

import (
	"context"
	"slices"
	"testing"
	"time"
)

// A failed proof is retried soon, and then with an exponential backoff, so that an unreachable node costs few calls.
func TestFailedProofIsRetriedSooner(t *testing.T) {
	const period = 400 * time.Millisecond
	schedule := proofSchedule{period: period}
	var got []time.Duration
	for _, succeeded := range []bool{true, false, false, false, false, false, false, true, false} {
		got = append(got, schedule.next(succeeded))
	}
	want := []time.Duration{period, 25e6, 50e6, 100e6, 200e6, period, period, period, 25e6}
	if !slices.Equal(got, want) {
		t.Errorf("delays: got %v, want %v", got, want)
	}
}

// Neither the first proof nor the one after a failure waits for a period.
func TestProofsFollowAFailureWithinThePeriod(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	proofs := 0
	proveRepeatedly(ctx, time.Hour, nil, func(context.Context) bool {
		if proofs++; proofs == 3 {
			cancel()
		}
		return false
	})
	if proofs != 3 {
		t.Errorf("proofs within a period: got %d, want 3", proofs)
	}
}
