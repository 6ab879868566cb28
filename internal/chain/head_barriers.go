package chain

import "time"

// Barrier asks for a proof that this replica is still the head. The answer is in Output.Barriers once a message has
// been to the tail and back, and everything that may have been committed before is committed here.
func (r *Replica) Barrier(now time.Duration, id uint64) {
	if !r.isHead() {
		r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Failed: true})
		return
	}
	r.head.barriers.waiting = append(r.head.barriers.waiting, id)
	r.advance(now)
}

// advanceBarrier answers the barriers of a round that has returned, and begins the next round if barriers wait.
func (r *Replica) advanceBarrier() {
	barriers := &r.head.barriers
	if barriers.current != nil && r.roundReturned() {
		for _, id := range barriers.current {
			r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Sequence: barriers.sequence})
		}
		barriers.current = nil
	}
	if barriers.current != nil || len(barriers.waiting) == 0 {
		return
	}
	barriers.roundsBegun++
	barriers.round = r.generation<<generationShift | barriers.roundsBegun
	barriers.current = barriers.waiting
	barriers.waiting = nil
	barriers.sequence = max(r.committed, r.head.priorCommitBound)
	if r.roundReturned() {
		r.advanceBarrier()
	}
}

// roundReturned reports whether the current round has been at the tail and back.
func (r *Replica) roundReturned() bool {
	if r.committed < r.head.barriers.sequence {
		return false
	}
	if len(r.view.Members) == 1 {
		return true
	}
	return r.successor != nil && r.successor.barrierAcked >= r.head.barriers.round
}
