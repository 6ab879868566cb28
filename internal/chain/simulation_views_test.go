package chain

import (
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/view"
)

// plan acts like a Reconfigurer at random intervals: it follows a source, proposes the next view, or asks for a view.
func (s *site) plan() {
	simulation := s.simulation
	wait := planPeriod + time.Duration(simulation.random.Int64N(int64(planPeriod)))
	s.after(wait, s.plan)
	if simulation.authority {
		s.installAuthorityView()
	}
	v := s.replica.View()
	switch {
	case v.Has(s.self.Replica) && simulation.authority:
	case v.Has(s.self.Replica):
		s.planAsMember(v)
	case v.Epoch > 0:
		s.planAsLearner(v)
	case slices.Contains(s.seeds, s.address) && !simulation.authority:
		if simulation.random.IntN(3) == 0 {
			s.proposeView(v)
		}
	default:
		s.askForView()
	}
}

func (s *site) askForView() {
	other := s.simulation.sites[s.simulation.random.IntN(len(s.simulation.sites))]
	if other != s {
		s.step(func(time.Duration) { s.replica.send(other.address, 0, ViewRequest{}) })
	}
}

func (s *site) planAsMember(v view.View) {
	if s.simulation.random.IntN(20) == 0 {
		s.askForView()
	}
	candidates := s.candidates(v)
	for i := range candidates {
		candidates[i].Complete = v.Has(candidates[i].Replica)
	}
	if _, needed := view.Next(v, candidates, s.simulation.policy); !needed {
		return
	}
	if s.simulation.random.IntN(1+v.Index(s.self.Replica)) == 0 {
		s.proposeView(v)
	}
}

func (s *site) planAsLearner(v view.View) {
	if s.replica.caughtUp() && s.simulation.random.IntN(10) != 0 {
		return
	}
	if s.replica.source.IsValid() && s.simulation.random.IntN(10) != 0 && slices.ContainsFunc(v.Members, func(m view.Member) bool { return m.Address == s.replica.source }) {
		return
	}
	members := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool { return m.Address == s.address })
	if len(members) == 0 {
		return
	}
	source := members[s.simulation.random.IntN(len(members))].Address
	s.step(func(now time.Duration) { s.replica.Follow(now, source) })
}

// candidates returns what a site knows about the others, which is mostly accurate.
func (s *site) candidates(v view.View) []view.Candidate {
	var candidates []view.Candidate
	for _, member := range v.Members {
		other := s.simulation.siteOf(member)
		candidate := view.Candidate{Member: member}
		if other != nil {
			candidate.Leaving = other.leaving
			candidate.Reachable = other == s || s.reaches(other)
		}
		candidate.DiskLost = s.knowsDiskLost(member)
		candidates = append(candidates, candidate)
	}
	for _, other := range s.simulation.sites {
		if other.replica == nil || v.Has(other.self.Replica) || !s.reaches(other) {
			continue
		}
		candidates = append(candidates, view.Candidate{
			Member: other.self, Reachable: true, CaughtUp: other.replica.caughtUp(), Leaving: other.leaving,
		})
	}
	return candidates
}

// knowsDiskLost reports whether failure detection has seen another replica at the address of a member.
func (s *site) knowsDiskLost(member view.Member) bool {
	other := s.simulation.siteAt(member.Address)
	return s.reaches(other) && other.replica != nil && other.self.Replica != 0 && other.self.Replica != member.Replica
}

// reaches reports whether the failure detection of a site, which is wrong at times, considers another site alive.
func (s *site) reaches(other *site) bool {
	network := s.simulation.network
	wrong := s.simulation.random.IntN(100) == 0
	if wrong && !s.simulation.healed {
		return false
	}
	partitioned := network.IsPartitioned(s.address, other.address) || network.IsPartitioned(other.address, s.address)
	if network.Up(other.address) && !network.Frozen(other.address) && !partitioned {
		delete(s.unreachableSince, other.address)
		return true
	}
	since, known := s.unreachableSince[other.address]
	if !known {
		since = network.Now()
		s.unreachableSince[other.address] = since
	}
	return network.Now()-since < detectionTime
}

// proposeView makes one attempt to have the view after v decided.
func (s *site) proposeView(v view.View) {
	if s.proposer != nil {
		return
	}
	candidates := s.candidates(v)
	state := s.acceptor.State()
	round := uint64(1)
	if state.Epoch == v.Epoch+1 {
		round = state.Promised.Round + 1
	}
	options := view.ProposerOptions{
		Epoch:  v.Epoch + 1,
		Number: view.ProposalNumber{Round: round, Replica: s.self.Replica},
		Choose: s.chooser(v, candidates),
	}
	for _, voter := range v.Electorate() {
		options.Acceptors = append(options.Acceptors, voter.Address)
	}
	if v.Epoch == 0 {
		options.Acceptors = s.seeds
		options.Awaited = s.seeds
	}
	for _, candidate := range candidates {
		if candidate.Reachable {
			options.Awaited = append(options.Awaited, candidate.Address)
		}
		if !slices.Contains(options.Acceptors, candidate.Address) {
			options.NonVoters = append(options.NonVoters, candidate.Address)
		}
	}
	proposer := view.NewProposer(options)
	s.proposer = proposer
	s.after(attemptTimeout, func() {
		if s.proposer == proposer {
			s.proposer = nil
		}
	})
	prepare := proposer.Prepare()
	s.ask(proposer, proposer.Recipients(), func(other *site) func() {
		promise, ok := other.prepare(prepare)
		return func() {
			if ok {
				proposer.HandlePromise(s.simulation.network.Now(), other.address, promise)
			}
		}
	})
}

func (s *site) chooser(v view.View, candidates []view.Candidate) func([]view.Promise) (view.View, bool) {
	return func(answers []view.Promise) (view.View, bool) {
		if v.Epoch == 0 {
			return view.First(0, answers, s.simulation.policy)
		}
		return view.Next(v, view.UpdateCandidates(candidates, answers), s.simulation.policy)
	}
}

// ask sends a proposer's request to its own site first and then to others, and passes their answers to the proposer.
func (s *site) ask(proposer *view.Proposer, asked []netip.AddrPort, ask func(other *site) func()) {
	deliver := ask(s)
	deliver()
	s.advanceProposer(proposer)
	for _, address := range asked {
		if address == s.address {
			continue
		}
		other := s.simulation.siteAt(address)
		s.simulation.network.Send(s.address, address, func() {
			answer := ask(other)
			known := other.replica.View()
			s.simulation.network.Send(address, s.address, func() {
				if known.Epoch > 0 {
					s.step(func(time.Duration) { s.replica.Install(known) })
				}
				if known.Epoch < s.replica.View().Epoch {
					s.step(func(time.Duration) { s.replica.sendView(address) })
				}
				if s.proposer == proposer {
					answer()
					s.advanceProposer(proposer)
				}
			})
		})
	}
}

func (s *site) advanceProposer(proposer *view.Proposer) {
	if v, ok := proposer.Decided(); ok {
		s.proposer = nil
		s.broadcastView(v)
		return
	}
	if accept, ok := proposer.TakeAccept(); ok {
		s.ask(proposer, proposer.Acceptors(), func(other *site) func() {
			accepted, ok := other.accept(accept)
			return func() {
				if ok {
					proposer.HandleAccepted(other.address, accepted)
				}
			}
		})
	}
	if _, over := proposer.Abandoned(); over {
		s.proposer = nil
		return
	}
	if deadline, ok := proposer.Deadline(); ok {
		s.after(max(0, deadline-s.simulation.network.Now()), func() {
			if s.proposer == proposer {
				proposer.Tick(s.simulation.network.Now())
				s.advanceProposer(proposer)
			}
		})
	}
}

// broadcastView installs a decided view, and sends it to some others.
func (s *site) broadcastView(v view.View) {
	s.simulation.logf("site %d had view %d decided", s.index, v.Epoch)
	s.step(func(time.Duration) { s.replica.Install(v) })
	var addresses []netip.AddrPort
	known := s.replica.View()
	for _, member := range slices.Concat(known.Members, known.Voters, v.Members, v.Voters) {
		addresses = append(addresses, member.Address)
	}
	for _, to := range addresses {
		if to != s.address && s.simulation.random.IntN(4) != 0 {
			envelope := Envelope{Epoch: v.Epoch, Sender: s.self.Replica, Body: ViewNotice{View: v}}
			s.send(Outgoing{To: to, Envelope: envelope})
		}
	}
}

// votes reports whether the site is an acceptor for an epoch.
func (s *site) votes(epoch uint64) bool {
	v := s.replica.View()
	if epoch != v.Epoch+1 {
		return false
	}
	if v.Epoch == 0 {
		return slices.Contains(s.seeds, s.address)
	}
	return v.HasVoter(s.self.Replica)
}

// prepare returns the site's answer, and false if it gives none because its disk fails.
func (s *site) prepare(m view.Prepare) (view.Promise, bool) {
	answer := view.Promise{Epoch: m.Epoch, Number: m.Number}
	if s.votes(m.Epoch) {
		before := s.acceptor.State()
		answer = s.acceptor.Prepare(m)
		if !s.saveAcceptor(before) {
			return view.Promise{}, false
		}
	}
	answer.Sender = s.self
	answer.Leaving = s.leaving
	if !s.leaving {
		s.lastAnsweredNotLeaving = s.simulation.network.Now()
	}
	answer.Complete = s.replica.complete() && s.replica.View().Epoch+1 == m.Epoch
	return answer, true
}

// accept returns the site's answer, and false if it gives none because its disk fails.
func (s *site) accept(m view.Accept) (view.Accepted, bool) {
	if !s.votes(m.Epoch) {
		return view.Accepted{}, true
	}
	before := s.acceptor.State()
	answer := s.acceptor.Accept(m)
	return answer, s.saveAcceptor(before)
}
