package chain

import (
	"slices"
	"time"
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

// headReady tells whether proposals can be committed: enough members, all connected.
func (r *Replica) headReady() bool {
	if !r.isHead() || len(r.view.Members) < r.minimumReplicas {
		return false
	}
	_, ready := r.acknowledgeable()
	return ready
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
