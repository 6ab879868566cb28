package chain

import "slices"

// headState is what a replica keeps while it is the head.
type headState struct {
	// priorCommitBound is the sequence of the last entry when the view in force began. Entries that were committed before
	// have at most this sequence.
	priorCommitBound uint64

	waiting      []proposal        // not appended yet, in order
	waitingBytes int               // total size of the commands in waiting
	appended     map[uint64]uint64 // identifiers of proposals that are appended and not committed, by sequence

	barriers headBarriers
}

// headBarriers collects barriers into rounds. One round is under way at a time; barriers that arrive meanwhile share
// the next one.
type headBarriers struct {
	round       uint64   // number of the newest round, which messages carry; 0 if none has begun in this epoch
	current     []uint64 // identifiers of the barriers that the round under way answers; nil if none is under way
	sequence    uint64   // everything that was committed when the round began has at most this sequence
	waiting     []uint64 // identifiers of the barriers for the next round
	roundsBegun uint64   // count of all rounds begun by this process
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

// headReady reports whether this replica is the head and can commit proposals: the view has enough members, and all are
// connected.
func (r *Replica) headReady() bool {
	if !r.isHead() || len(r.view.Members) < r.minimumReplicas {
		return false
	}
	_, ready := r.syncedToTail()
	return ready
}

// updateHeadRole keeps pending proposals and barriers if the former term continues in the new view, and rejects them
// otherwise.
func (r *Replica) updateHeadRole(formerTerm uint64) {
	if !r.isHead() || r.term != formerTerm {
		r.resignAsHead()
	}
	if !r.isHead() {
		return
	}
	r.head.priorCommitBound = r.history.last().Sequence
	r.head.barriers.waiting = append(r.head.barriers.current, r.head.barriers.waiting...)
	r.head.barriers.current = nil
	r.head.barriers.round = 0
}

// resignAsHead rejects all proposals and barriers that have no result yet. A later head may still commit the proposals
// that were appended.
func (r *Replica) resignAsHead() {
	for _, waiting := range r.head.waiting {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: waiting.id})
	}
	for _, id := range r.head.appended {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: id, Unclear: true})
	}
	for _, id := range slices.Concat(r.head.barriers.current, r.head.barriers.waiting) {
		r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Failed: true})
	}
	r.head = headState{appended: make(map[uint64]uint64), barriers: headBarriers{roundsBegun: r.head.barriers.roundsBegun}}
}

// advanceHead appends waiting proposals, commits what is on the disks of all members, and answers barriers. A caller
// gets the result of its command only after the command was committed here.
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
