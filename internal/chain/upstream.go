package chain

import (
	"net/netip"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// upstream is the session by which this replica is fed: by its predecessor, or, if no view names it, by a feeder.
type upstream struct {
	from      netip.AddrPort // invalid: the replica is fed by nobody
	session   Session
	sender    view.ReplicaID
	started   bool
	target    uint64 // on disk here, it makes a member complete
	committed uint64 // as the sender knows it
	barrier   uint64 // newest one that came from the head

	snapshot *incomingSnapshot

	acknowledged Acknowledge // last one that was sent
	due          bool        // one has to be sent, also if it tells nothing new
	attachAt     time.Duration
}

// incomingSnapshot is a snapshot of which parts have arrived.
type incomingSnapshot struct {
	position Position
	total    uint64
	received uint64
	data     []byte
}

// resetUpstream forgets the session, at the beginning of an epoch.
func (c *Core) resetUpstream(now time.Duration) {
	c.upstream = upstream{}
	if c.view.Has(c.self.Replica) {
		c.feeder = netip.AddrPort{}
		if predecessor, ok := c.view.Predecessor(c.self.Replica); ok {
			c.upstream.from = predecessor.Address
			c.upstream.attachAt = now
		}
		return
	}
	if c.feeder.IsValid() {
		c.upstream.from = c.feeder
		c.upstream.attachAt = now
	}
}

// Follow has a replica that no view names be fed by the member at an address.
func (c *Core) Follow(now time.Duration, from netip.AddrPort) {
	if c.newestView().Has(c.self.Replica) || from == c.feeder {
		return
	}
	c.feeder = from
	c.resetUpstream(now)
	c.finish(now)
}

// attach asks for a session when it is time to.
func (c *Core) attach(now time.Duration) {
	u := &c.upstream
	if u.attachAt == 0 || now < u.attachAt {
		return
	}
	learner := !c.view.Has(c.self.Replica)
	if u.started && !learner {
		u.attachAt = 0
		return
	}
	c.send(u.from, Attach{Session: u.session})
	u.attachAt = now + attachInterval
	if u.started {
		u.attachAt = now + learnerInterval
	}
}

// expected tells whether a replica is the one to be fed by.
func (c *Core) expected(from netip.AddrPort, sender view.ReplicaID) bool {
	if !c.view.Has(c.self.Replica) {
		return from == c.feeder
	}
	predecessor, ok := c.view.Predecessor(c.self.Replica)
	return ok && predecessor.Replica == sender
}

func (c *Core) receiveConnect(now time.Duration, from netip.AddrPort, sender view.ReplicaID, m Connect) {
	u := &c.upstream
	if !c.expected(from, sender) || (sender == u.sender && !m.Session.After(u.session)) {
		return
	}
	barrier := u.barrier
	attachAt := u.attachAt
	*u = upstream{from: from, session: m.Session, sender: sender, barrier: barrier, attachAt: attachAt}
	if u.attachAt == 0 {
		u.attachAt = now + attachInterval
	}
	c.send(from, History{Session: m.Session, Generation: c.generation, Committed: c.committed, Runs: c.history.runs()})
}

// current tells whether a message belongs to the session. The sender of a later one, which was not begun here, has to
// begin anew.
func (c *Core) current(sender view.ReplicaID, session Session) bool {
	u := &c.upstream
	if sender == u.sender && session == u.session {
		return true
	}
	if sender == u.sender && !session.After(u.session) {
		return false
	}
	if predecessor, ok := c.view.Predecessor(c.self.Replica); ok && predecessor.Replica == sender {
		c.refuse(session)
	}
	return false
}

// refuse asks for a new session.
func (c *Core) refuse(session Session) {
	c.send(c.upstream.from, Attach{Session: session, Broken: true})
}

func (c *Core) receiveStart(now time.Duration, sender view.ReplicaID, m Start) {
	u := &c.upstream
	if !c.current(sender, m.Session) || m.Generation != c.generation || u.started {
		return
	}
	if held, ok := c.history.position(m.Match.Sequence); !ok || held != m.Match || m.Match.Sequence < c.committed {
		c.fault("session starts at %v, committed is %d", m.Match, c.committed)
		return
	}
	c.truncate(now, m.Match.Sequence)
	u.started = true
	u.target = m.Target
	u.committed = m.Target
	if c.view.Has(c.self.Replica) {
		u.committed = 0
		u.attachAt = 0
	} else {
		u.attachAt = now + learnerInterval
	}
	u.due = true
}

func (c *Core) receiveAppend(now time.Duration, sender view.ReplicaID, m Append) {
	u := &c.upstream
	if !c.current(sender, m.Session) {
		return
	}
	if !u.started || m.Previous != c.history.last() {
		c.refuse(m.Session)
		return
	}
	c.append(m.Entries)
	u.committed = max(u.committed, m.Committed)
	if m.Barrier > u.barrier {
		u.barrier = m.Barrier
	}
}

// advanceReceiver commits what is known to be committed and on the own disk: the machine is never ahead of that.
func (c *Core) advanceReceiver() {
	if c.upstream.started {
		c.commit(min(c.upstream.committed, c.synced))
	}
}

func (c *Core) receiveSnapshotPart(now time.Duration, sender view.ReplicaID, m SnapshotPart) {
	u := &c.upstream
	if !c.current(sender, m.Session) || m.Generation != c.generation || u.started {
		return
	}
	if m.Position.Sequence < c.committed {
		c.fault("snapshot at %v, committed is %d", m.Position, c.committed)
		return
	}
	if u.snapshot == nil || u.snapshot.position != m.Position {
		u.snapshot = &incomingSnapshot{position: m.Position, total: m.Total}
	}
	if m.Offset != u.snapshot.received {
		c.refuse(m.Session)
		return
	}
	u.snapshot.data = append(u.snapshot.data, m.Data...)
	u.snapshot.received += max(1, uint64(len(m.Data)))
	u.due = true
	if u.snapshot.received < u.snapshot.total {
		return
	}
	c.reset(now, segment.Snapshot{Epoch: m.Position.Epoch, Sequence: m.Position.Sequence, Data: u.snapshot.data})
	u.snapshot.data = nil
}

// acknowledge tells the sender of the session about progress. A member that does not know on its disk that it is complete
// acknowledges nothing to be committed: what is committed in a view is held by all of its members, and each of them may be the
// head of the next one.
func (c *Core) acknowledge() {
	u := &c.upstream
	if u.session == (Session{}) || (!u.started && u.snapshot == nil) {
		return
	}
	m := Acknowledge{Session: u.session}
	if u.snapshot != nil {
		m.SnapshotBytes = u.snapshot.received
	}
	if u.started {
		m.Stored = c.synced
	}
	if u.started && c.complete() {
		m.Synced, m.Ready = c.acknowledgeable()
		m.Barrier = c.returnedBarrier()
	}
	if m == u.acknowledged && !u.due {
		return
	}
	u.acknowledged = m
	u.due = false
	c.send(u.from, m)
}

// acknowledgeable gives what this replica and all after it have on disk, and whether they are connected.
func (c *Core) acknowledgeable() (synced uint64, ready bool) {
	if _, ok := c.view.Successor(c.self.Replica); !ok {
		return c.synced, true
	}
	if c.successor == nil || c.successor.state != linkStreaming {
		return 0, false
	}
	return min(c.synced, c.successor.acked), c.successor.ready
}

// returnedBarrier gives the newest barrier that has been at the tail.
func (c *Core) returnedBarrier() uint64 {
	if !c.view.Has(c.self.Replica) {
		return 0
	}
	if _, ok := c.view.Successor(c.self.Replica); !ok {
		return c.upstream.barrier
	}
	if c.successor == nil {
		return 0
	}
	return c.successor.barrierAcked
}
