package chain

import "slices"

// headState is what a replica keeps while it is the head.
type headState struct {
	// priorCommitBound is the last entry at the time when the replica became head, or was started. Entries that were
	// committed before have at most this sequence.
	priorCommitBound uint64

	waiting      []proposal        // not appended yet, in order
	waitingBytes int               // of the commands in waiting
	appended     map[uint64]uint64 // proposals that are appended and not committed, by sequence

	barriers headBarriers
}

// headBarriers collects barriers into rounds. One round is under way at a time; barriers that come meanwhile share the
// next one.
type headBarriers struct {
	round    uint64   // number of the newest round, which messages carry; 0: none in this epoch
	callers  []uint64 // barriers that the round under way answers; nil: none is under way
	sequence uint64   // what was committed when the round began has at most this sequence
	waiting  []uint64 // barriers for the next round
	rounds   uint64   // rounds that were ever begun
}

// proposal is a command that waits to be appended.
type proposal struct {
	id      uint64
	command []byte
}

// isHead reports whether the view in force names this replica as head and it is complete, so that it may act as head.
func (r *Replica) isHead() bool {
	head, ok := r.view.Head()
	return ok && head.Replica == r.self.Replica && r.complete()
}

// headReady reports whether proposals can be committed: the view has enough members, and all are connected.
func (r *Replica) headReady() bool {
	if !r.isHead() || len(r.view.Members) < r.minimumReplicas {
		return false
	}
	_, ready := r.syncedToTail()
	return ready
}

// updateHeadRole keeps what was begun if the former term goes on in the new view, and resigns otherwise.
func (r *Replica) updateHeadRole(formerTerm uint64) {
	if !r.isHead() || r.term != formerTerm {
		r.resignAsHead()
	}
	if !r.isHead() {
		return
	}
	r.head.priorCommitBound = r.history.last().Sequence
	r.head.barriers.waiting = append(r.head.barriers.callers, r.head.barriers.waiting...)
	r.head.barriers.callers = nil
	r.head.barriers.round = 0
}

// resignAsHead rejects all proposals and barriers that have no result yet. Those appended may be committed by a later
// head.
func (r *Replica) resignAsHead() {
	for _, waiting := range r.head.waiting {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: waiting.id})
	}
	for _, id := range r.head.appended {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: id, Unclear: true})
	}
	for _, id := range slices.Concat(r.head.barriers.callers, r.head.barriers.waiting) {
		r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Failed: true})
	}
	r.head = headState{appended: make(map[uint64]uint64), barriers: headBarriers{rounds: r.head.barriers.rounds}}
}

// advanceHead appends waiting proposals, commits what the disks of all members hold, and answers barriers. A command is
// acknowledged to its caller only after it was committed here.
func (r *Replica) advanceHead() {
	if !r.isHead() {
		return
	}
	r.appendWaiting()
	if len(r.view.Members) >= r.minimumReplicas {
		synced, _ := r.syncedToTail()
		r.commit(synced)
	}
	r.advanceBarrier()
}
