package chain

import (
	"testing"
	"time"

	"nickelline/internal/simnet"
	"nickelline/internal/view"
)

// Bounds on times in a network without faults.
const (
	hop                = 900 * time.Microsecond
	commitBound        = 10 * time.Millisecond
	writableAgainBound = 1500 * time.Millisecond
)

// newHealthySimulation returns a chain of three that has agreed on its first view and commits.
func newHealthySimulation(t *testing.T) *simulation {
	s := newSimulation(t, 1)
	s.authority = false
	s.healed = true
	s.sites = s.sites[:0]
	s.seeds = nil
	s.policy = view.Policy{MinimumMembers: 2, MaximumMembers: 3}
	s.network = simnet.New(1, simnet.Conditions{MinimumDelay: hop, MaximumDelay: hop})
	for i := range 3 {
		site := newSite(s, i, addressOf(i))
		s.sites = append(s.sites, site)
		s.seeds = append(s.seeds, site.address)
	}
	for _, site := range s.sites {
		site.start(true)
	}
	s.commitLatency()
	return s
}

// commitLatency returns how long it takes until a command that is proposed now at the head is committed, with all retries.
func (s *simulation) commitLatency() time.Duration {
	begin := s.network.Now()
	for _, site := range s.sites {
		if site.replica.isHead() {
			o := s.begin(&operation{value: s.lastID})
			s.tryPropose(o, site, 100)
			s.runUntil(func() bool { return o.done })
			return o.end - begin
		}
	}
	s.runUntil(func() bool {
		for _, site := range s.sites {
			if site.replica.isHead() {
				return true
			}
		}
		return false
	})
	return s.network.Now() - begin + s.commitLatency()
}

func TestCommitLatency(t *testing.T) {
	s := newHealthySimulation(t)
	for range 20 {
		took := s.commitLatency()
		if took > commitBound {
			t.Fatalf("a commit over three replicas took %v, want at most %v", took, commitBound)
		}
	}
}

func TestTimeUntilWritableAfterAllKilled(t *testing.T) {
	s := newHealthySimulation(t)
	for round := range 10 {
		for _, site := range s.sites {
			site.end(false)
		}
		for i, site := range s.sites {
			wait := time.Duration((i*700+round*300)%1000) * time.Millisecond
			s.network.At(s.network.Now()+wait, func() { site.start(false) })
		}
		s.runUntil(func() bool {
			return s.network.Up(s.sites[0].address) && s.network.Up(s.sites[1].address) && s.network.Up(s.sites[2].address)
		})
		took := s.commitLatency()
		if took > writableAgainBound {
			t.Fatalf("writable %v after all had come back, want at most %v", took, writableAgainBound)
		}
	}
}
