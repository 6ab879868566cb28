package discovery

import (
	"errors"
	"testing"
	"time"
)

func newTestSchedule(now time.Time) *schedule {
	return newSchedule(testHeartbeat, testDrainTimeout, testRate, 1, now)
}

func TestRanksPollInOrder(t *testing.T) {
	now := time.Now()
	last := time.Duration(-1)
	for rank := range 8 {
		wait := newTestSchedule(now).pollWait(now, nodeRole{Control: true, Rank: rank, Members: 13})
		if wait < last {
			t.Errorf("rank %d: got a wait of %v, want no less than that of the rank below (%v)", rank, wait, last)
		}
		if wait >= testDrainTimeout*6/10 {
			t.Errorf("rank %d: got a wait of %v, want less than 0.6 of the drain timeout", rank, wait)
		}
		last = wait
	}
	if wait := newTestSchedule(now).pollWait(now, nodeRole{Control: true, Members: 13, ProofAge: unknownAge}); wait != 0 {
		t.Errorf("rank 0 without a proof: got a wait of %v, want 0", wait)
	}
}

func TestStartedControlNodesPollInOrder(t *testing.T) {
	now := time.Now()
	alone := nodeRole{Control: true, Members: 1, ProofAge: unknownAge}
	if wait := newTestSchedule(now).pollWait(now, alone); wait != joinTime {
		t.Errorf("control node alone: got a wait of %v, want %v", wait, joinTime)
	}
	if wait := newTestSchedule(now).pollWait(now.Add(joinTime), alone); wait != 0 {
		t.Errorf("control node alone after joinTime: got a wait of %v, want 0", wait)
	}
	last := -startStep
	for rank := range maxStartSteps {
		wait := newTestSchedule(now).pollWait(now, nodeRole{Control: true, Rank: rank, Members: 13, ProofAge: unknownAge})
		if wait < last+startStep {
			t.Errorf("rank %d: got a wait of %v, want startStep more than the rank below (%v)", rank, wait, last)
		}
		last = wait
	}
}

func TestOtherNodesPollOnlyWithoutProof(t *testing.T) {
	now := time.Now()
	s := newTestSchedule(now)
	if wait := s.pollWait(now, nodeRole{Members: 13, ProofAge: unknownAge}); wait < startWait {
		t.Errorf("started node: got a wait of %v, want %v at least", wait, startWait)
	}
	now = now.Add(10 * time.Second)
	role := nodeRole{Members: 13, ProofAge: testDrainTimeout / 2}
	if s.pollWait(now, role) == 0 {
		t.Error("node with a young proof: got no wait, want one")
	}
	role.ProofAge = testDrainTimeout * 3 / 4
	if wait := s.pollWait(now, role); wait != 0 {
		t.Errorf("node with an old proof: got a wait of %v, want 0", wait)
	}
}

// TestOtherNodesStayUnderTheRate runs many nodes that get no proof from control nodes: all of their polls together must
// stay within the rate limit.
func TestOtherNodesStayUnderTheRate(t *testing.T) {
	const nodes, pages, span = 95, 2, 60 * time.Second
	start := time.Now()
	calls := 0
	for node := range nodes {
		s := newSchedule(testHeartbeat, testDrainTimeout, testRate, uint64(node), start)
		for now := start; now.Sub(start) < span; {
			age := min(now.Sub(start), unknownAge)
			if !s.lastPollAt.IsZero() {
				age = now.Sub(s.lastPollAt)
			}
			if wait := s.pollWait(now, nodeRole{Members: nodes, ProofAge: age}); wait > 0 {
				now = now.Add(wait)
				continue
			}
			s.pollStarted(now)
			now = now.Add(time.Millisecond)
			s.pollFinished(now, pages, nil)
			calls += pages
		}
	}
	if rate := float64(calls) / span.Seconds(); rate > testRate {
		t.Errorf("calls a second: got %.1f, want %v at most", rate, testRate)
	}
}

func TestFailuresBackOff(t *testing.T) {
	now := time.Now()
	s := newTestSchedule(now)
	role := nodeRole{Control: true, Members: 13, ProofAge: unknownAge}
	last := time.Duration(0)
	for range 3 {
		s.pollStarted(now)
		s.pollFinished(now, 0, errors.New("timeout"))
		wait := s.pollWait(now, role)
		if wait <= last {
			t.Errorf("wait after another failure: got %v, want more than %v", wait, last)
		}
		last, now = wait, now.Add(wait)
	}
	s.pollFinished(now, 1, nil)
	if wait := s.pollWait(now, role); wait != 0 {
		t.Errorf("wait after a success: got %v, want 0", wait)
	}
}

// For a long listing the period follows from the platform's rate limit, and ranks still poll one after the other.
func TestPeriodFollowsTheRate(t *testing.T) {
	const pages = 74
	now := time.Now()
	s := newTestSchedule(now)
	s.pollStarted(now)
	s.pollFinished(now, pages, nil)
	if calls := pages / s.period().Seconds(); calls > testRate*0.81 || calls < testRate*0.79 {
		t.Errorf("calls a second: got %.1f, want 0.8 of the rate", calls)
	}
	if s.pollTimeout(true) < s.period() {
		t.Errorf("pollTimeout: got %v, want at least the %v that the pages need", s.pollTimeout(true), s.period())
	}
	last := time.Duration(0)
	for rank := range 4 {
		due := s.pollAge(nodeRole{Control: true, Rank: rank, Members: 390})
		if due <= last {
			t.Errorf("rank %d: got a poll at age %v, want later than the rank below (%v)", rank, due, last)
		}
		last = due
	}
	if due := s.pollAge(nodeRole{Members: 390}); due <= s.period() {
		t.Errorf("other nodes: got a poll at age %v, want later than the period of %v", due, s.period())
	}
}
