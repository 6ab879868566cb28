package chain

import "time"

// Barrier asks at the head for a proof that it still is the head.
func (r *Replica) Barrier(now time.Duration, id uint64) {
	if !r.isHead() {
		r.out.Barriers = append(r.out.Barriers, BarrierResult{Barrier: id, Failed: true})
		return
	}
	r.head.waitingBarrier = append(r.head.waitingBarrier, id)
	r.followUp(now)
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
