package chain

import "time"

// Barrier asks for a proof that this replica is still the head. The output answers by Barriers, once a message has been
// to the tail and back and everything that may have been committed before is committed here.
func (r *Replica) Barrier(now time.Duration, id uint64) {
	if !r.isHead() {
		r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Failed: true})
		return
	}
	r.head.barriers.waiting = append(r.head.barriers.waiting, id)
	r.followUp(now)
}

// advanceBarrier answers the barriers of a round that has come back, and begins the next round if more wait.
func (r *Replica) advanceBarrier() {
	if r.head.barriers.callers != nil && r.roundReturned() {
		for _, id := range r.head.barriers.callers {
			r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Sequence: r.head.barriers.sequence})
		}
		r.head.barriers.callers = nil
	}
	if r.head.barriers.callers != nil || len(r.head.barriers.waiting) == 0 {
		return
	}
	r.head.barriers.rounds++
	r.head.barriers.round = r.generation<<generationShift | r.head.barriers.rounds
	r.head.barriers.callers = r.head.barriers.waiting
	r.head.barriers.waiting = nil
	r.head.barriers.sequence = max(r.committed, r.head.priorCommitBound)
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
