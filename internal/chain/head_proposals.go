package chain

import (
	"slices"
	"time"

	"nickelline/internal/segment"
)

// Propose takes a command at the head, which appends it once all members are connected. Output.Accepted then has its
// sequence, or Output.Rejected says that it gets none.
func (r *Replica) Propose(now time.Duration, id uint64, command []byte) {
	if !r.isHead() || r.head.waitingBytes+len(command) > r.limits.waiting {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: id})
		return
	}
	r.head.waiting = append(r.head.waiting, proposal{id: id, command: command})
	r.head.waitingBytes += len(command)
	r.advance(now)
}

// Cancel withdraws a proposal. It reports false if the proposal is not waiting, for example because it was appended.
func (r *Replica) Cancel(id uint64) bool {
	i := slices.IndexFunc(r.head.waiting, func(p proposal) bool { return p.id == id })
	if i < 0 {
		return false
	}
	r.head.waitingBytes -= len(r.head.waiting[i].command)
	r.head.waiting = slices.Delete(r.head.waiting, i, i+1)
	return true
}

// appendWaiting appends waiting proposals in order, if all members are connected, until limits.uncommitted is exceeded.
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
		r.head.appended[last] = waiting.id
		r.out.Accepted = append(r.out.Accepted, Accepted{Proposal: waiting.id, Sequence: last})
		uncommitted += uint64(len(waiting.command))
		r.head.waitingBytes -= len(waiting.command)
		taken++
	}
	r.head.waiting = slices.Delete(r.head.waiting, 0, taken)
	r.append(entries)
}
