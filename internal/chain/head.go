package chain

import (
	"slices"
	"time"

	"nickelline/internal/segment"
)

// headState is what a replica keeps while it is the head.
type headState struct {
	// floor is the last entry at the time when the replica became head, or was started: what was committed before has
	// at most this sequence.
	floor     uint64
	waiting   []proposal        // not appended yet
	bytes     int               // of the commands that wait
	proposals map[uint64]uint64 // proposal by sequence, appended and not committed

	round          uint64   // newest barrier that was sent, 0: none in this epoch
	roundFor       []uint64 // barriers that it answers; nil: none is under way
	roundSequence  uint64   // what was committed when it was sent has at most this sequence
	waitingBarrier []uint64 // barriers that came since
	rounds         uint64
}

// proposal is a command that waits to be appended.
type proposal struct {
	id      uint64
	command []byte
}

// isHead tells whether the view in force names this replica as head, and it may act as one.
func (r *Replica) isHead() bool {
	head, ok := r.view.Head()
	return ok && head.Replica == r.self.Replica && r.complete()
}

// updateHeadRole keeps what was begun if the replica is head in the new view as well, and gives it up otherwise.
func (r *Replica) updateHeadRole(now time.Duration) {
	if !r.isHead() {
		r.resignAsHead()
		return
	}
	r.head.floor = r.history.last().Sequence
	r.head.waitingBarrier = append(r.head.roundFor, r.head.waitingBarrier...)
	r.head.roundFor = nil
	r.head.round = 0
}

func (r *Replica) resignAsHead() {
	for _, waiting := range r.head.waiting {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: waiting.id})
	}
	for _, id := range r.head.proposals {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: id, Unclear: true})
	}
	for _, id := range slices.Concat(r.head.roundFor, r.head.waitingBarrier) {
		r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Failed: true})
	}
	r.head = headState{proposals: make(map[uint64]uint64), rounds: r.head.rounds}
}

// headReady tells whether proposals can be committed: enough members, all connected.
func (r *Replica) headReady() bool {
	if !r.isHead() || len(r.view.Members) < r.minimumReplicas {
		return false
	}
	_, ready := r.acknowledgeable()
	return ready
}

// Propose takes a command at the head. It is appended once the chain is connected.
func (r *Replica) Propose(now time.Duration, id uint64, command []byte) {
	if !r.isHead() || r.head.bytes+len(command) > r.limits.waiting {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: id})
		return
	}
	r.head.waiting = append(r.head.waiting, proposal{id: id, command: command})
	r.head.bytes += len(command)
	r.followUp(now)
}

// Cancel takes back a proposal. It reports false if that was appended before.
func (r *Replica) Cancel(id uint64) bool {
	i := slices.IndexFunc(r.head.waiting, func(p proposal) bool { return p.id == id })
	if i < 0 {
		return false
	}
	r.head.bytes -= len(r.head.waiting[i].command)
	r.head.waiting = slices.Delete(r.head.waiting, i, i+1)
	return true
}

// Barrier asks at the head for a proof that it still is the head.
func (r *Replica) Barrier(now time.Duration, id uint64) {
	if !r.isHead() {
		r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Failed: true})
		return
	}
	r.head.waitingBarrier = append(r.head.waitingBarrier, id)
	r.followUp(now)
}

// advanceHead commits, appends and answers barriers, as far as the acknowledgements permit.
func (r *Replica) advanceHead() {
	if !r.isHead() {
		return
	}
	r.appendWaiting()
	if len(r.view.Members) >= r.minimumReplicas {
		synced, _ := r.acknowledgeable()
		r.commit(synced)
	}
	r.advanceBarrier()
}

// appendWaiting appends proposals in order, if the chain is connected and not too far behind.
func (r *Replica) appendWaiting() {
	if len(r.head.waiting) == 0 || !r.headReady() {
		return
	}
	var entries []segment.Entry
	last := r.history.last().Sequence
	uncommitted := r.history.totalBytes() - r.history.bytesUpTo(r.committed)
	taken := 0
	for _, waiting := range r.head.waiting {
		if uncommitted > r.limits.uncommitted {
			break
		}
		last++
		entries = append(entries, segment.Entry{Epoch: r.view.Epoch, Sequence: last, Data: waiting.command})
		r.head.proposals[last] = waiting.id
		r.out.Accepted = append(r.out.Accepted, Accepted{Proposal: waiting.id, Sequence: last})
		uncommitted += uint64(len(waiting.command))
		r.head.bytes -= len(waiting.command)
		taken++
	}
	r.head.waiting = slices.Delete(r.head.waiting, 0, taken)
	r.append(entries)
}

// advanceBarrier answers the round under way once it has come back, and begins the next one.
func (r *Replica) advanceBarrier() {
	if r.head.roundFor != nil && r.roundReturned() {
		for _, id := range r.head.roundFor {
			r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Sequence: r.head.roundSequence})
		}
		r.head.roundFor = nil
	}
	if r.head.roundFor != nil || len(r.head.waitingBarrier) == 0 {
		return
	}
	r.head.rounds++
	r.head.round = r.generation<<generationShift | r.head.rounds
	r.head.roundFor = r.head.waitingBarrier
	r.head.waitingBarrier = nil
	r.head.roundSequence = max(r.committed, r.head.floor)
	if r.roundReturned() {
		r.advanceBarrier()
	}
}

func (r *Replica) roundReturned() bool {
	if r.committed < r.head.roundSequence {
		return false
	}
	if len(r.view.Members) == 1 {
		return true
	}
	return r.successor != nil && r.successor.barrierAcked >= r.head.round
}
