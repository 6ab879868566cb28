package chain

import "time"

// writeResult is the answer to a write of a client.
type writeResult struct {
	refused        bool // certainly not appended
	ok             bool // the version was the expected one
	version, value uint64
}

// acceptedProposal waits for the commit of its entry.
type acceptedProposal struct {
	id    uint64
	reply func(writeResult)
}

type appliedWait struct {
	sequence uint64
	do       func()
}

func (s *site) whenApplied(sequence uint64, do func()) {
	if s.applied >= sequence {
		do()
		return
	}
	s.waits = append(s.waits, appliedWait{sequence: sequence, do: do})
}

func (s *site) propose(command []byte, reply func(writeResult)) {
	s.proposeBy(func(now time.Duration, id uint64) { s.replica.Propose(now, id, command) }, reply)
}

// proposeBy proposes a client's command by the given event. It cancels the proposal if it is not appended within
// operationTimeout.
func (s *site) proposeBy(event func(now time.Duration, id uint64), reply func(writeResult)) {
	s.simulation.lastID++
	id := s.simulation.lastID
	s.proposals[id] = reply
	s.step(func(now time.Duration) { event(now, id) })
	s.after(operationTimeout, func() {
		if s.proposals[id] != nil && s.replica.Cancel(id) {
			delete(s.proposals, id)
			reply(writeResult{refused: true})
		}
	})
}

func (s *site) barrier(reply func(sequence uint64)) {
	s.simulation.lastID++
	id := s.simulation.lastID
	s.barriers[id] = reply
	s.step(func(now time.Duration) { s.replica.Barrier(now, id) })
}

func (s *site) resolve(out Output) {
	for _, a := range out.Accepted {
		s.accepted[a.Sequence] = acceptedProposal{id: a.Proposal, reply: s.proposals[a.Proposal]}
		delete(s.proposals, a.Proposal)
	}
	for _, r := range out.Rejected {
		s.reject(r)
	}
	for _, b := range out.Barriers {
		if !b.Failed {
			s.barriers[b.Barrier](b.Sequence)
		}
		delete(s.barriers, b.Barrier)
	}
}

func (s *site) reject(r Rejected) {
	if reply := s.proposals[r.Proposal]; reply != nil {
		if r.Unclear {
			s.simulation.fatalf("site %d: proposal %d was not appended, but is rejected as unclear", s.index, r.Proposal)
		}
		delete(s.proposals, r.Proposal)
		reply(writeResult{refused: true})
	}
	for sequence, call := range s.accepted {
		if call.id != r.Proposal {
			continue
		}
		delete(s.accepted, sequence)
		if !r.Unclear {
			s.simulation.fatalf("site %d: proposal %d was appended, but is rejected as not appended", s.index, r.Proposal)
		}
	}
}
