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
func (c *Core) isHead() bool {
	head, ok := c.view.Head()
	return ok && head.Replica == c.self.Replica && c.complete()
}

// enterAsHead keeps what was begun if the replica is head in the new view as well, and gives it up otherwise.
func (c *Core) enterAsHead(now time.Duration) {
	if !c.isHead() {
		c.giveUpHead()
		return
	}
	c.head.floor = c.history.last().Sequence
	c.head.waitingBarrier = append(c.head.roundFor, c.head.waitingBarrier...)
	c.head.roundFor = nil
	c.head.round = 0
}

func (c *Core) giveUpHead() {
	for _, waiting := range c.head.waiting {
		c.out.Rejected = append(c.out.Rejected, Rejected{Proposal: waiting.id})
	}
	for _, id := range c.head.proposals {
		c.out.Rejected = append(c.out.Rejected, Rejected{Proposal: id, Unclear: true})
	}
	for _, id := range slices.Concat(c.head.roundFor, c.head.waitingBarrier) {
		c.out.Barriers = append(c.out.Barriers, BarrierResult{Barrier: id, Failed: true})
	}
	c.head = headState{proposals: make(map[uint64]uint64), rounds: c.head.rounds}
}

// headReady tells whether proposals can be committed: enough members, all connected.
func (c *Core) headReady() bool {
	if !c.isHead() || len(c.view.Members) < c.minimumReplicas {
		return false
	}
	_, ready := c.acknowledgeable()
	return ready
}

// Propose takes a command at the head. It is appended once the chain is connected.
func (c *Core) Propose(now time.Duration, id uint64, command []byte) {
	if !c.isHead() || c.head.bytes+len(command) > c.sizes.waiting {
		c.out.Rejected = append(c.out.Rejected, Rejected{Proposal: id})
		return
	}
	c.head.waiting = append(c.head.waiting, proposal{id: id, command: command})
	c.head.bytes += len(command)
	c.finish(now)
}

// Cancel takes back a proposal. It reports false if that was appended before.
func (c *Core) Cancel(id uint64) bool {
	i := slices.IndexFunc(c.head.waiting, func(p proposal) bool { return p.id == id })
	if i < 0 {
		return false
	}
	c.head.bytes -= len(c.head.waiting[i].command)
	c.head.waiting = slices.Delete(c.head.waiting, i, i+1)
	return true
}

// Barrier asks at the head for a proof that it still is the head.
func (c *Core) Barrier(now time.Duration, id uint64) {
	if !c.isHead() {
		c.out.Barriers = append(c.out.Barriers, BarrierResult{Barrier: id, Failed: true})
		return
	}
	c.head.waitingBarrier = append(c.head.waitingBarrier, id)
	c.finish(now)
}

// advanceHead commits, appends and answers barriers, as far as the acknowledgements permit.
func (c *Core) advanceHead() {
	if !c.isHead() {
		return
	}
	c.appendWaiting()
	if len(c.view.Members) >= c.minimumReplicas {
		synced, _ := c.acknowledgeable()
		c.commit(synced)
	}
	c.advanceBarrier()
}

// appendWaiting appends proposals in order, if the chain is connected and not too far behind.
func (c *Core) appendWaiting() {
	if len(c.head.waiting) == 0 || !c.headReady() {
		return
	}
	var entries []segment.Entry
	last := c.history.last().Sequence
	uncommitted := c.history.totalBytes() - c.history.bytesUpTo(c.committed)
	taken := 0
	for _, waiting := range c.head.waiting {
		if uncommitted > c.sizes.uncommitted {
			break
		}
		last++
		entries = append(entries, segment.Entry{Epoch: c.view.Epoch, Sequence: last, Data: waiting.command})
		c.head.proposals[last] = waiting.id
		c.out.Accepted = append(c.out.Accepted, Accepted{Proposal: waiting.id, Sequence: last})
		uncommitted += uint64(len(waiting.command))
		c.head.bytes -= len(waiting.command)
		taken++
	}
	c.head.waiting = slices.Delete(c.head.waiting, 0, taken)
	c.append(entries)
}

// advanceBarrier answers the round under way once it has come back, and begins the next one.
func (c *Core) advanceBarrier() {
	if c.head.roundFor != nil && c.roundReturned() {
		for _, id := range c.head.roundFor {
			c.out.Barriers = append(c.out.Barriers, BarrierResult{Barrier: id, Sequence: c.head.roundSequence})
		}
		c.head.roundFor = nil
	}
	if c.head.roundFor != nil || len(c.head.waitingBarrier) == 0 {
		return
	}
	c.head.rounds++
	c.head.round = c.generation<<generationShift | c.head.rounds
	c.head.roundFor = c.head.waitingBarrier
	c.head.waitingBarrier = nil
	c.head.roundSequence = max(c.committed, c.head.floor)
	if c.roundReturned() {
		c.advanceBarrier()
	}
}

func (c *Core) roundReturned() bool {
	if c.committed < c.head.roundSequence {
		return false
	}
	if len(c.view.Members) == 1 {
		return true
	}
	return c.successor != nil && c.successor.barrierAcked >= c.head.round
}
