package quota

import (
	"math"
	"testing"
	"time"
)

func TestBucketNeedsALease(t *testing.T) {
	b := newLeasedBuckets(testPolicy)
	if b.takeOnArrival(after(0), "t") {
		t.Fatal("without a lease: got a token, want none")
	}
	entries := b.renewalEntries(after(0), map[string]int{"t": 1}, false)
	b.apply(after(time.Second), after(0), entries, []Grant{{Lease: Share{Rate: 10, Depth: 3}}})
	if b.takeOnArrival(after(time.Second), "t") {
		t.Error("new lease: got a token, want an empty bucket")
	}
	if !b.takeOnArrival(after(1200*time.Millisecond), "t") {
		t.Error("after 0.2 s at 10 requests a second: got no token, want one")
	}
	if b.takeOnArrival(after(testPolicy.Lease), "t") {
		t.Error("Policy.Lease after the renewal was sent: got a token, want none")
	}
}

func TestBucketReturnsItsSurplus(t *testing.T) {
	b := newLeasedBuckets(testPolicy)
	b.takeOnArrival(after(0), "t")
	entries := b.renewalEntries(after(0), nil, true)
	b.apply(after(0), after(0), entries, []Grant{{Lease: Share{Rate: 10, Depth: 3}}})
	entries = b.renewalEntries(after(time.Second), nil, true)
	if got := entries[0].Returned; math.Abs(got-4.7) > 1e-9 { // of 10 given tokens 3 are saved, and 4.7 are given in surplusSpan
		t.Errorf("returned surplus: got %v, want 4.7", got)
	}
	if again := b.renewalEntries(after(time.Second), nil, true)[0].Returned; again != 0 {
		t.Errorf("surplus returned again: got %v, want 0", again)
	}
}

// TestReturnedTokensCountUntilTheAnswer guards against surplus that is held twice: tokens that are on their way to the
// allocator, which may receive them late, and the surplus that the lease gives meanwhile are together no more than the surplus
// of the policy.
func TestReturnedTokensCountUntilTheAnswer(t *testing.T) {
	b := newLeasedBuckets(testPolicy)
	b.takeOnArrival(after(0), "t")
	grants := []Grant{{Lease: Share{Rate: 10, Depth: 3}}}
	b.apply(after(0), after(0), b.renewalEntries(after(0), nil, true), grants)
	limit := 10 * testPolicy.surplusSpan().Seconds()
	sentAt := after(time.Second / 2)
	entries := b.renewalEntries(sentAt, nil, true)
	returned := entries[0].Returned
	if returned <= 0 || returned >= limit {
		t.Fatalf("returned surplus: got %v, want some, and less than %v", returned, limit)
	}
	for since := renewPeriod / 2; since < HeadProofLifetime; since += renewPeriod / 2 { // without an answer
		entries = b.renewalEntries(sentAt.Add(since), nil, true)
		returned += entries[0].Returned
		if held := returned + b.byTenant["t"].surplus; held > limit+1e-9 {
			t.Fatalf("%v after the renewal: got a surplus of %v, %v of it returned; want %v at most", since, held, returned, limit)
		}
	}
	b.apply(after(2*time.Second), after(time.Second), entries, grants)
	if got := b.bucket(after(3*time.Second), "t").surplus; got < limit-1e-9 {
		t.Errorf("surplus after an answer: got %v, want %v", got, limit)
	}
}

// TestBucketIgnoresAnEarlierTime guards against tokens given twice: goroutines read the clock before they take the mutex, so a
// bucket may see an earlier time after a later one.
func TestBucketIgnoresAnEarlierTime(t *testing.T) {
	b := newLeasedBuckets(testPolicy)
	b.takeOnArrival(after(0), "t")
	entries := b.renewalEntries(after(0), nil, true)
	b.apply(after(0), after(0), entries, []Grant{{Lease: Share{Rate: 10, Depth: 100}}})
	for range 5 {
		b.bucket(after(time.Second), "t")
		b.bucket(after(time.Second/2), "t")
	}
	if got := b.bucket(after(time.Second), "t").tokens; got > 10+1e-9 {
		t.Errorf("tokens of 1 s at 10 requests a second: got %v, want 10 at most", got)
	}
}

func TestRefundReturnsAToken(t *testing.T) {
	b := newLeasedBuckets(testPolicy)
	b.takeOnArrival(after(0), "t")
	entries := b.renewalEntries(after(0), nil, true)
	b.apply(after(0), after(0), entries, []Grant{{Lease: Share{Rate: 1, Depth: 1}}})
	now := after(time.Second)
	if !b.takeOnArrival(now, "t") || b.takeOnArrival(now, "t") {
		t.Fatal("tokens: want exactly one")
	}
	b.refund(now, now, "t")
	if !b.takeOnArrival(now, "t") {
		t.Error("after refund: got no token, want one")
	}
}

// TestLateRefundGivesNoToken guards against refunds of tokens that were taken long ago: the bucket has been filled again since,
// so that a window would have both tokens.
func TestLateRefundGivesNoToken(t *testing.T) {
	b := newLeasedBuckets(testPolicy)
	b.takeOnArrival(after(0), "t")
	entries := b.renewalEntries(after(0), nil, true)
	b.apply(after(0), after(0), entries, []Grant{{Lease: Share{Rate: 1, Depth: 1}}})
	takenAt := after(time.Second)
	if !b.takeOnArrival(takenAt, "t") {
		t.Fatal("tokens: got none, want one")
	}
	late := takenAt.Add(testPolicy.refundSpan() + time.Millisecond)
	b.refund(late, takenAt, "t")
	if b.takeOnArrival(late, "t") {
		t.Error("after a late refund: got a token, want none")
	}
}

func TestIdleTenantsAreForgotten(t *testing.T) {
	b := newLeasedBuckets(testPolicy)
	b.takeOnArrival(after(0), "t")
	if entries := b.renewalEntries(after(idleTimeout+time.Second), nil, true); len(entries) != 0 || len(b.byTenant) != 0 {
		t.Errorf("idle tenant: got %d entries and %d buckets, want none", len(entries), len(b.byTenant))
	}
}
