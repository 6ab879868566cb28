package chain

import (
	"slices"
	"time"
)

// lossBudget counts the disks that were lost. At any moment as many may go as the chain has to bear, less those whose loss has
// not been repaired yet, whatever else is going on: cuts, kills, changes of the view.
type lossBudget struct {
	unrepaired int
	total      int
	replaced   int // sites that were taken away with their disks after they had handed over
}

const (
	stepsPerCheck = 20 // of the network, between two looks whether losses are repaired
	leavingPoll   = 20 * time.Millisecond
	leavingTime   = 4 * time.Second // until a site that cannot hand over gives up
)

// tolerated is the number of disks that may be lost at once.
func (s *simulation) tolerated() int { return s.policy.MinimumMembers - 1 }

// updateRepaired makes all losses good once the chain is whole.
func (s *simulation) updateRepaired() {
	if s.losses.unrepaired > 0 && s.whole() {
		s.logf("whole")
		s.losses.unrepaired = 0
	}
}

// whole reports whether the newest view has all its members complete, is on the disks of all its voters, which are as many as the
// policy wants, and is not being changed.
func (s *simulation) whole() bool {
	if s.newest.Epoch == 0 || s.decided.Epoch > s.newest.Epoch || len(s.newest.Members) < s.policy.MinimumMembers {
		return false
	}
	if !s.authority && len(s.newest.Voters) < s.policy.Voters {
		return false
	}
	for _, voter := range s.newest.Electorate() {
		site := s.siteOf(voter)
		if site == nil || !s.network.Up(site.address) || site.replica.View().Epoch != s.newest.Epoch || s.changing(site) {
			return false
		}
		if s.newest.Has(voter.Replica) && !site.replica.complete() {
			return false
		}
	}
	return true
}

// changing reports whether a site takes part in an agreement on a view after the newest one.
func (s *simulation) changing(site *site) bool {
	state := site.acceptor.State()
	return site.proposer != nil || (state.Epoch > s.newest.Epoch && state.Accepted != nil)
}

// mayLoseDisk reports whether the chain has to bear another loss. An authority that is not careful may have dropped all other
// copies: then only members beside as many as are needed may go, and only while nothing else is going on.
func (s *simulation) mayLoseDisk() bool {
	s.updateRepaired()
	if s.authority && !s.careful {
		return len(s.newest.Members) > s.policy.MinimumMembers && s.whole()
	}
	return s.losses.unrepaired < s.tolerated()
}

// loseDisk ends a site and wipes its disk, if the chain has to bear that. Sometimes all others lose power at the same time.
func (s *simulation) loseDisk(site *site, duration time.Duration) {
	if !s.mayLoseDisk() {
		return
	}
	if s.random.IntN(3) == 0 {
		s.logf("and power loss of all")
		for _, other := range s.sites {
			if other != site {
				s.end(other, true, duration/3)
			}
		}
	}
	s.takeDisk(site, duration)
}

// takeDisk counts the loss of a site's disk and wipes it.
func (s *simulation) takeDisk(site *site, back time.Duration) {
	s.logf("disk lost %d", site.index)
	s.losses.total++
	s.losses.unrepaired++
	s.wipe(site, back)
}

// wipe has a site come back with an empty disk after a time.
func (s *simulation) wipe(site *site, back time.Duration) {
	if s.network.Up(site.address) {
		site.end(true)
	}
	site.wipe()
	s.after(back, func() {
		if !s.network.Up(site.address) {
			site.start(false)
		}
	})
}

// replace has a site hand over and takes it away with its disk as soon as it has; an empty one comes at its address. That is a
// loss only if the site has a vote yet, or may get one by an agreement that is under way.
func (s *simulation) replace(site *site, back time.Duration) {
	if site.replica == nil || site.leaving || !s.network.Up(site.address) || s.authority {
		return
	}
	s.logf("to be replaced: %d", site.index)
	site.leaving = true
	replica, deadline := site.self.Replica, s.network.Now()+leavingTime
	var poll func()
	poll = func() {
		if s.healed || site.self.Replica != replica || s.network.Now() > deadline {
			site.leaving = false
			return
		}
		if !site.handedOver() || (s.mayVote(site) && !s.mayLoseDisk()) {
			s.after(leavingPoll, poll)
			return
		}
		s.remove(site, back)
	}
	poll()
}

// remove handles a site away with its disk after it has handed over.
func (s *simulation) remove(site *site, back time.Duration) {
	s.logf("replaced: %d", site.index)
	s.losses.replaced++
	if s.mayVote(site) {
		s.losses.unrepaired++
	}
	site.leaving = false
	s.wipe(site, back)
}

// mayVote reports whether the newest view, or one that some site has accepted after it, gives a vote to a replica.
func (s *simulation) mayVote(candidate *site) bool {
	replica := candidate.self.Replica
	return s.newest.HasVoter(replica) || slices.ContainsFunc(s.sites, func(other *site) bool {
		state := other.acceptor.State()
		return state.Accepted != nil && state.Epoch > s.newest.Epoch && state.Accepted.View.HasVoter(replica)
	})
}

// handedOver reports whether a site knows a view of which it is no member to be on the disks of a majority of its other voters
// (Reconfigurer.HandOver).
func (s *site) handedOver() bool {
	v := s.replica.View()
	if !s.simulation.network.Up(s.address) || v.Epoch == 0 || v.Has(s.self.Replica) {
		return false
	}
	if s.simulation.network.Now() < s.answered+attemptTimeout {
		return false // a view that names it may be decided yet
	}
	holders := 0
	for _, voter := range v.Electorate() {
		other := s.simulation.siteOf(voter)
		if other != nil && other != s && s.simulation.network.Up(other.address) && other.replica.View().Epoch == v.Epoch {
			holders++
		}
	}
	return holders >= v.Majority()
}
