package chain

import (
	"slices"
	"time"

	"nickelline/internal/view"
)

// authorityPeriod scales the random time between two views that the authority decides.
const authorityPeriod = 400 * time.Millisecond

// installAuthorityView passes the newest view that the authority decided to a site: always once faults have ended, and
// in two of three cases before.
func (s *site) installAuthorityView() {
	decided := s.simulation.decided
	if decided.Epoch > 0 && s != s.simulation.cutOff && (s.simulation.healed || s.simulation.random.IntN(3) != 0) {
		s.step(func(time.Duration) { s.replica.Install(decided) })
	}
}

// decide has the authority decide a view at random intervals. While faults are injected, an authority that is not careful
// decides views whose heads have reported that they are complete, with random other members.
func (s *simulation) decide() {
	wait := authorityPeriod/2 + time.Duration(s.random.Int64N(int64(4*authorityPeriod)))
	s.network.At(s.network.Now()+wait, s.decide)
	if s.decided.Epoch == 0 {
		s.decideFirst()
		return
	}
	next, ok := s.decideNext()
	if !ok {
		return
	}
	s.decided = next
	s.logf("the authority decided view %d of %d members", next.Epoch, len(next.Members))
}

func (s *simulation) decideFirst() {
	first := view.View{Epoch: 1}
	for _, site := range s.sites {
		if len(first.Members) < s.policy.MinimumMembers && site.replica != nil {
			member := site.self
			member.Joined = 1
			first.Members = append(first.Members, member)
		}
	}
	if len(first.Members) == s.policy.MinimumMembers {
		s.decided = first
	}
}

func (s *simulation) decideNext() (view.View, bool) {
	if s.healed || s.careful {
		return view.Next(s.decided, s.reports(), s.policy)
	}
	var complete, others []view.Member
	for _, candidate := range s.reports() {
		member := candidate.Member
		switch {
		case candidate.Complete && (candidate.Reachable || s.random.IntN(4) == 0):
			complete = append(complete, member)
		case s.decided.Has(member.Replica):
			others = append(others, member)
		case candidate.CaughtUp || s.random.IntN(4) == 0:
			member.Joined = s.decided.Epoch + 1
			others = append(others, member)
		}
	}
	if len(complete) == 0 {
		return view.View{}, false
	}
	head := s.random.IntN(len(complete))
	others = append(others, slices.Delete(slices.Clone(complete), head, head+1)...)
	s.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:s.random.IntN(min(len(others), s.policy.MaximumMembers-1)+1)]
	members := append([]view.Member{complete[head]}, others...)
	return view.View{Epoch: s.decided.Epoch + 1, Members: members}, true
}

// reports returns what the authority knows about the sites.
func (s *simulation) reports() []view.Candidate {
	var candidates []view.Candidate
	for _, member := range s.decided.Members {
		if site := s.siteOf(member); site != nil {
			complete := site.replica.complete() && site.replica.View().Epoch >= member.Joined
			reachable := s.network.Up(site.address) && !s.network.Frozen(site.address) && site != s.cutOff
			candidates = append(candidates, view.Candidate{Member: member, Complete: complete, Reachable: reachable})
		} else if s.reportsLostDisks {
			candidates = append(candidates, view.Candidate{Member: member, DiskLost: true})
		}
	}
	for _, site := range s.sites {
		if site.replica != nil && !s.decided.Has(site.self.Replica) && s.network.Up(site.address) && site != s.cutOff {
			candidates = append(candidates, view.Candidate{Member: site.self, Reachable: true, CaughtUp: site.replica.caughtUp()})
		}
	}
	return candidates
}
