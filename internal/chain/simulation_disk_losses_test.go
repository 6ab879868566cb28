package chain

import (
	"slices"
	"time"
)

// lossBudget counts the disks that were lost. At any moment as many more may be lost as the chain has to tolerate, less
// those whose loss has not been repaired, whatever else is going on: partitions, kills, view changes.
type lossBudget struct {
	unrepaired int
	total      int
	replaced   int // sites that were removed with their disks after they had handed over
}

const (
	stepsPerCheck        = 20 // steps of the network between two checks whether losses are repaired
	handOverPollInterval = 20 * time.Millisecond
	handOverTimeout      = 4 * time.Second // until a site that cannot hand over gives up
)

// toleratedLosses returns the number of disks that may be lost at once.
func (s *simulation) toleratedLosses() int { return s.policy.MinimumMembers - 1 }

// updateRepaired counts all losses as repaired once the chain is fully replicated.
func (s *simulation) updateRepaired() {
	if s.losses.unrepaired > 0 && s.fullyReplicated() {
		s.logf("fully replicated")
		s.losses.unrepaired = 0
	}
}

// fullyReplicated reports whether all members of the newest view are complete, the view is on the disks of all its
// voters, of which there are as many as the policy wants, and no later view is being agreed on.
func (s *simulation) fullyReplicated() bool {
	if s.newest.Epoch == 0 || s.decided.Epoch > s.newest.Epoch || len(s.newest.Members) < s.policy.MinimumMembers {
		return false
	}
	if !s.authority && len(s.newest.Voters) < s.policy.Voters {
		return false
	}
	for _, voter := range s.newest.Electorate() {
		site := s.siteOf(voter)
		if site == nil || site == s.cutOff || !s.network.Up(site.address) || site.replica.View().Epoch != s.newest.Epoch || s.viewChangePending(site) {
			return false
		}
		if s.newest.Has(voter.Replica) && !site.replica.complete() {
			return false
		}
	}
	return true
}

// viewChangePending reports whether a site proposes a view, or has accepted one after the newest one.
func (s *simulation) viewChangePending(site *site) bool {
	state := site.acceptor.State()
	return site.proposer != nil || (state.Epoch > s.newest.Epoch && state.Accepted != nil)
}

// mayLoseDisk reports whether the chain has to tolerate another lost disk. An authority that is not careful may have
// dropped all other copies: a disk may then be lost only while the view has more members than the minimum and the chain
// is fully replicated.
func (s *simulation) mayLoseDisk() bool {
	s.updateRepaired()
	if s.authority && !s.careful {
		return len(s.newest.Members) > s.policy.MinimumMembers && s.fullyReplicated()
	}
	return s.losses.unrepaired < s.toleratedLosses()
}

// loseDisk stops a site and wipes its disk, if the chain has to tolerate that. In one of three cases all other sites lose
// power at the same time.
func (s *simulation) loseDisk(site *site, duration time.Duration) {
	if !s.mayLoseDisk() {
		return
	}
	if s.random.IntN(3) == 0 {
		s.logf("and power loss of all")
		for _, other := range s.sites {
			if other != site {
				s.restart(other, true, duration/3)
			}
		}
	}
	s.recordDiskLoss(site, duration)
}

// recordDiskLoss counts the loss of a site's disk and wipes it.
func (s *simulation) recordDiskLoss(site *site, downtime time.Duration) {
	s.logf("disk lost %d", site.index)
	s.losses.total++
	s.losses.unrepaired++
	s.wipe(site, downtime)
}

// loseLog stops a site whose log is damaged, if the chain has to tolerate the loss of a disk, and starts it again without the log.
// Only an authority decides on chains whose replicas lose logs alone: their replicas have no votes, which would be lost.
func (s *simulation) loseLog(site *site, duration time.Duration) {
	if !s.authority || site.log == nil || !s.network.Up(site.address) || !s.mayLoseDisk() {
		return
	}
	s.logf("log lost %d", site.index)
	s.losses.total++
	s.losses.unrepaired++
	site.stop(s.random.IntN(2) == 0)
	site.disk.FailOneIn(0)
	site.check(LoseLog(site.disk.Mount(), siteDirectory))
	clear(site.durable)
	site.durableBase = 0
	s.after(duration, func() {
		if !s.network.Up(site.address) {
			site.start(false)
		}
	})
}

// wipe stops a site, wipes its disk and starts it again after a time.
func (s *simulation) wipe(site *site, downtime time.Duration) {
	s.wipeAndThen(site, downtime, func() {})
}

// wipeAndThen is wipe with a function that is called after the start.
func (s *simulation) wipeAndThen(site *site, downtime time.Duration, then func()) {
	if s.network.Up(site.address) {
		site.stop(true)
	}
	site.wipe()
	s.after(downtime, func() {
		if !s.network.Up(site.address) {
			site.start(false)
			then()
		}
	})
}

// replace has a site hand over, and then removes it with its disk; a site with an empty disk starts at its address. This
// counts as a loss only if the removed replica still has a vote, or may get one by an agreement that is under way.
func (s *simulation) replace(site *site, downtime time.Duration) {
	if site.replica == nil || site.leaving || !s.network.Up(site.address) || s.authority {
		return
	}
	s.logf("to be replaced: %d", site.index)
	site.leaving = true
	replica, deadline := site.self.Replica, s.network.Now()+handOverTimeout
	var poll func()
	poll = func() {
		if s.healed || site.self.Replica != replica || s.network.Now() > deadline {
			site.leaving = false
			return
		}
		if !site.handedOver() || (s.mayVote(site) && !s.mayLoseDisk()) {
			s.after(handOverPollInterval, poll)
			return
		}
		s.remove(site, downtime)
	}
	poll()
}

// remove removes a site with its disk after it has handed over.
func (s *simulation) remove(site *site, downtime time.Duration) {
	s.logf("replaced: %d", site.index)
	s.losses.replaced++
	if s.mayVote(site) {
		s.losses.unrepaired++
	}
	site.leaving = false
	s.wipe(site, downtime)
}

// mayVote reports whether the newest view, or one that some site has accepted after it, gives a vote to a replica.
func (s *simulation) mayVote(candidate *site) bool {
	replica := candidate.self.Replica
	return s.newest.HasVoter(replica) || slices.ContainsFunc(s.sites, func(other *site) bool {
		state := other.acceptor.State()
		return state.Accepted != nil && state.Epoch > s.newest.Epoch && state.Accepted.View.HasVoter(replica)
	})
}

// handedOver reports whether the view in force at a site does not name it as a member and is on the disks of a majority
// of the voters, not counting the site (Reconfigurer.HandOver).
func (s *site) handedOver() bool {
	v := s.replica.View()
	if !s.simulation.network.Up(s.address) || v.Epoch == 0 || v.Has(s.self.Replica) {
		return false
	}
	if s.simulation.network.Now() < s.lastAnsweredNotLeaving+attemptTimeout {
		return false // a view that names it may still be decided
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
