package chain

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

type linkState uint8

const (
	linkConnecting linkState = iota // the receiver's history is awaited
	linkAwaitingSnapshot
	linkSendingSnapshot
	linkStreaming
)

// link feeds a successor or a learner.
type link struct {
	to      view.Member
	learner bool

	session    Session
	state      linkState
	generation uint64 // of the receiver
	next       uint64 // sequence of the next entry to send
	stored     uint64 // on the receiver's disk
	acked      uint64 // on the disks of the receiver and of all after it
	ready      bool

	committedSent uint64
	barrierSent   uint64
	barrierAcked  uint64

	snapshot      *segment.Snapshot
	snapshotSent  uint64
	snapshotAcked uint64

	deadline time.Duration // of the next sign of progress, 0: none is awaited
	attempts int           // sessions without progress
}

// needed gives the sequence after which the receiver needs entries.
func (l *link) needed() uint64 {
	switch {
	case l.state == linkStreaming:
		return l.next - 1
	case l.snapshot != nil:
		return l.snapshot.Sequence
	}
	return ^uint64(0)
}

// links gives all links in a fixed order.
func (c *Core) links() []*link {
	if c.successor == nil && len(c.learners) == 0 {
		return nil
	}
	var all []*link
	if c.successor != nil {
		all = append(all, c.successor)
	}
	for _, replica := range c.learnerOrder() {
		all = append(all, c.learners[replica])
	}
	return all
}

func (c *Core) learnerOrder() []view.ReplicaID {
	return slices.Sorted(maps.Keys(c.learners))
}

// connectSuccessor begins to feed the successor in the view, if this replica is complete.
func (c *Core) connectSuccessor(now time.Duration) {
	successor, ok := c.view.Successor(c.self.Replica)
	if !ok || !c.complete() || c.successor != nil {
		return
	}
	c.successor = &link{to: successor}
	c.connect(now, c.successor)
}

// connect begins a new session. What the receiver had acknowledged before no longer counts.
func (c *Core) connect(now time.Duration, l *link) {
	c.sessions++
	l.session = Session{Generation: c.generation, Number: c.sessions}
	l.state = linkConnecting
	l.ready = false
	l.stored = 0
	l.acked = 0
	l.snapshot = nil
	l.committedSent = 0
	l.barrierSent = 0
	c.send(l.to.Address, Connect{Session: l.session})
	l.deadline = now + retryInterval<<min(l.attempts, retryDoublings)
}

// rewindLinks begins new sessions where entries after a sequence that were dropped may have been sent.
func (c *Core) rewindLinks(now time.Duration, sequence uint64) {
	for _, l := range c.links() {
		if l.state == linkStreaming && l.next <= sequence+1 {
			continue
		}
		c.connect(now, l)
	}
}

// receiveAttach connects to a replica that asks for it, unless it is being fed.
func (c *Core) receiveAttach(now time.Duration, from netip.AddrPort, sender view.ReplicaID, m Attach) {
	if !c.complete() {
		return
	}
	l := c.linkTo(sender)
	if l == nil && !c.view.Has(sender) {
		l = &link{to: view.Member{Replica: sender, Address: from}, learner: true}
		c.learners[sender] = l
		c.connect(now, l)
		return
	}
	if l == nil {
		return
	}
	l.to.Address = from
	broken := m.Broken && m.Session == l.session
	if broken || (m.Session == Session{}) {
		c.connect(now, l)
	}
}

func (c *Core) linkTo(replica view.ReplicaID) *link {
	if c.successor != nil && c.successor.to.Replica == replica {
		return c.successor
	}
	return c.learners[replica]
}

// receiveHistory finds where the receiver's log and the own one part.
func (c *Core) receiveHistory(now time.Duration, sender view.ReplicaID, m History) {
	l := c.linkTo(sender)
	if l == nil || l.session != m.Session || l.state != linkConnecting {
		return
	}
	l.generation = m.Generation
	common, ok := match(c.history.runs(), m.Runs)
	if !ok {
		l.state = linkAwaitingSnapshot
		c.out.WantSnapshot = true
		c.progress(now, l)
		return
	}
	if common.Sequence < m.Committed {
		c.fault("replica %d has committed %d, and parts at %d", sender, m.Committed, common.Sequence)
		return
	}
	c.start(now, l, common)
}

// start begins to send the entries after a position.
func (c *Core) start(now time.Duration, l *link, common Position) {
	l.state = linkStreaming
	l.next = common.Sequence + 1
	l.snapshot = nil
	target := c.history.last().Sequence
	if l.learner {
		target = c.committed
	}
	c.send(l.to.Address, Start{Session: l.session, Generation: l.generation, Match: common, Target: target})
	c.progress(now, l)
}

// SnapshotTaken gives a snapshot of the state at an entry that was committed.
func (c *Core) SnapshotTaken(now time.Duration, snapshot segment.Snapshot) {
	position := Position{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence}
	if held, ok := c.history.position(snapshot.Sequence); ok && held == position {
		for _, l := range c.links() {
			if l.state == linkAwaitingSnapshot {
				l.state = linkSendingSnapshot
				l.snapshot = &snapshot
				l.snapshotSent = 0
				l.snapshotAcked = 0
				c.progress(now, l)
			}
		}
	}
	c.finish(now)
}

// receiveAcknowledge takes the receiver's progress.
func (c *Core) receiveAcknowledge(now time.Duration, sender view.ReplicaID, m Acknowledge) {
	l := c.linkTo(sender)
	if l == nil || l.session != m.Session {
		return
	}
	switch l.state {
	case linkSendingSnapshot:
		c.acknowledgeSnapshot(now, l, m.SnapshotBytes)
	case linkStreaming:
		c.acknowledgeEntries(now, l, m)
	}
}

func (c *Core) acknowledgeSnapshot(now time.Duration, l *link, received uint64) {
	if received <= l.snapshotAcked {
		return
	}
	l.snapshotAcked = received
	c.progress(now, l)
	if received == l.snapshotTotal() {
		c.start(now, l, Position{Epoch: l.snapshot.Epoch, Sequence: l.snapshot.Sequence})
	}
}

func (c *Core) acknowledgeEntries(now time.Duration, l *link, m Acknowledge) {
	if m.Stored > l.stored || m.Synced > l.acked || m.Barrier > l.barrierAcked || m.Ready != l.ready {
		c.progress(now, l)
	}
	l.stored = max(l.stored, min(m.Stored, l.next-1))
	l.acked = max(l.acked, min(m.Synced, l.next-1))
	l.barrierAcked = max(l.barrierAcked, m.Barrier)
	l.ready = m.Ready
	if !l.outstanding() {
		l.deadline = 0
	}
}

// outstanding tells whether something is to be acknowledged yet.
func (l *link) outstanding() bool {
	if l.state != linkStreaming || l.stored < l.next-1 {
		return true
	}
	return !l.learner && (!l.ready || l.acked < l.next-1 || l.barrierAcked < l.barrierSent)
}

// snapshotTotal is the length of the snapshot, at least one byte so that an empty one is acknowledged too.
func (l *link) snapshotTotal() uint64 { return max(1, uint64(len(l.snapshot.Data))) }

// progress puts off the retry.
func (c *Core) progress(now time.Duration, l *link) {
	l.attempts = 0
	c.awaitProgress(now, l)
}

func (c *Core) awaitProgress(now time.Duration, l *link) {
	var bytes uint64
	switch l.state {
	case linkStreaming:
		bytes = c.inFlight(l)
	case linkSendingSnapshot:
		bytes = l.snapshotSent - l.snapshotAcked
	}
	transfer := time.Duration(bytes) * time.Second / slowestLink
	l.deadline = now + retryInterval<<min(l.attempts, retryDoublings) + transfer
}

// inFlight gives the bytes of entries that were sent and are not known to be on the receiver's disk.
func (c *Core) inFlight(l *link) uint64 {
	return c.history.bytesUpTo(l.next-1) - c.history.bytesUpTo(l.stored)
}

// retry begins a new session where no progress came in time.
func (c *Core) retry(now time.Duration, l *link) {
	if l.deadline == 0 || now < l.deadline {
		return
	}
	l.attempts++
	if l.state == linkAwaitingSnapshot {
		c.out.WantSnapshot = true
		c.awaitProgress(now, l)
		return
	}
	c.connect(now, l)
}

// dropLostLearners forgets learners that do not answer. They ask again if they live.
func (c *Core) dropLostLearners() {
	maps.DeleteFunc(c.learners, func(_ view.ReplicaID, l *link) bool { return l.attempts > learnerAttempts })
}

// flush sends what the window of a link permits.
func (c *Core) flush(now time.Duration, l *link) {
	switch l.state {
	case linkSendingSnapshot:
		c.flushSnapshot(now, l)
	case linkStreaming:
		c.flushEntries(now, l)
	}
}

func (c *Core) flushSnapshot(now time.Duration, l *link) {
	total := l.snapshotTotal()
	for l.snapshotSent < total && l.snapshotSent-l.snapshotAcked < snapshotWindow*c.sizes.snapshotPart {
		end := min(l.snapshotSent+c.sizes.snapshotPart, total)
		c.send(l.to.Address, SnapshotPart{
			Session:    l.session,
			Generation: l.generation,
			Position:   Position{Epoch: l.snapshot.Epoch, Sequence: l.snapshot.Sequence},
			Total:      total,
			Offset:     l.snapshotSent,
			Data:       l.snapshot.Data[min(l.snapshotSent, uint64(len(l.snapshot.Data))):min(end, uint64(len(l.snapshot.Data)))],
		})
		l.snapshotSent = end
		c.awaitProgress(now, l)
	}
}

// flushEntries sends entries that are on the own disk, to a learner only committed ones.
func (c *Core) flushEntries(now time.Duration, l *link) {
	if l.next <= c.history.base.Sequence {
		c.connect(now, l)
		return
	}
	limit := c.synced
	if l.learner {
		limit = min(limit, c.committed)
	}
	for l.next <= limit && (l.stored == l.next-1 || c.inFlight(l) < c.sizes.window) {
		entries := c.history.batch(l.next-1, limit, c.sizes.batch)
		c.sendAppend(now, l, entries)
	}
	if l.committedSent < min(c.committed, l.next-1) || l.barrierSent < c.barrierFor(l) {
		c.sendAppend(now, l, nil)
	}
}

func (c *Core) sendAppend(now time.Duration, l *link, entries []segment.Entry) {
	previous, _ := c.history.position(l.next - 1)
	idle := !l.outstanding()
	barrier := c.barrierFor(l)
	c.send(l.to.Address, Append{
		Session:   l.session,
		Previous:  previous,
		Entries:   entries,
		Committed: c.committed,
		Barrier:   barrier,
	})
	l.next += uint64(len(entries))
	l.committedSent = c.committed
	l.barrierSent = barrier
	if idle && l.outstanding() {
		c.awaitProgress(now, l)
	}
}

// barrierFor gives the newest barrier to be passed on.
func (c *Core) barrierFor(l *link) uint64 {
	if l.learner {
		return 0
	}
	if c.isHead() {
		return c.head.round
	}
	return c.upstream.barrier
}
