package chain

import (
	"testing"
	"time"

	"nickelline/internal/simnet"
	"nickelline/internal/view"
)

// Bounds on times in a network without faults.
const (
	messageDelay       = 900 * time.Microsecond // delay of each message
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
	s.network = simnet.New(1, simnet.Conditions{MinimumDelay: messageDelay, MaximumDelay: messageDelay})
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

// commitLatency proposes a command at the head and returns the time until it is committed, including the wait for a head
// and all retries.
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
			t.Fatalf("commit latency over three replicas: got %v, want at most %v", took, commitBound)
		}
	}
}

func TestTimeUntilWritableAfterAllKilled(t *testing.T) {
	s := newHealthySimulation(t)
	for round := range 10 {
		for _, site := range s.sites {
			site.stop(false)
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
			t.Fatalf("time until writable after all have restarted: got %v, want at most %v", took, writableAgainBound)
		}
	}
}
