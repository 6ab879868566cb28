package chain

import (
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// exchange delivers the messages of a few replicas by hand. Disk operations are done at once.
type exchange struct {
	t        *testing.T
	now      time.Duration
	replicas map[netip.AddrPort]*Replica
	queue    []delivery
}

// delivery is a message that has not been delivered yet.
type delivery struct {
	from netip.AddrPort
	Outgoing
}

func newExchange(t *testing.T) *exchange {
	return &exchange{t: t, now: time.Second, replicas: make(map[netip.AddrPort]*Replica)}
}

// start starts a replica with an empty disk at an address, in place of the one that was there.
func (e *exchange) start(self view.Member) *Replica { return e.startFrom(self, Recovered{}) }

// startFrom is start with what is on the disk.
func (e *exchange) startFrom(self view.Member, recovered Recovered) *Replica {
	r := NewReplica(0, self, 2, recovered)
	e.replicas[self.Address] = r
	e.perform(r)
	return r
}

// step passes an event to a replica and performs its output.
func (e *exchange) step(r *Replica, event func(now time.Duration)) {
	event(e.now)
	e.perform(r)
}

// perform queues the messages of a replica, and completes its disk operations and snapshots.
func (e *exchange) perform(r *Replica) {
	out := r.Output()
	for _, message := range out.Messages {
		e.queue = append(e.queue, delivery{r.self.Address, message})
	}
	for _, operation := range out.Disk {
		e.step(r, func(now time.Duration) { r.DiskDone(now, operation.ID) })
	}
	if out.SnapshotRequested {
		last := r.history.base
		e.step(r, func(now time.Duration) {
			r.SnapshotTaken(now, segment.Snapshot{Epoch: last.Epoch, Sequence: last.Sequence, Data: []byte("state")})
		})
	}
}

// deliver delivers a message to the replica that runs at its destination.
func (e *exchange) deliver(d delivery) {
	if to := e.replicas[d.To]; to != nil {
		e.step(to, func(now time.Duration) { to.Receive(now, d.from, d.Envelope) })
	}
}

// deliverAll delivers messages until none is left.
func (e *exchange) deliverAll() {
	for len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.deliver(next)
	}
}

// run lets time pass in steps of 50 ms, and delivers all messages after each.
func (e *exchange) run(span time.Duration) {
	for end := e.now + span; e.now < end; e.now += 50 * time.Millisecond {
		for _, r := range e.replicas {
			e.step(r, r.Tick)
		}
		e.deliverAll()
	}
}

// TestLearnerAtTheAddressOfALostMember guards against a partition that stays without its second replica: the view still names a
// member that has lost its disk, and the head's messages to that member reach the learner that runs at its address now.
func TestLearnerAtTheAddressOfALostMember(t *testing.T) {
	head := view.Member{Replica: 1, Address: addressOf(0), Joined: 1}
	lost := view.Member{Replica: 2, Address: addressOf(1), Joined: 1}
	first := view.View{Epoch: 1, Members: []view.Member{head, lost}}
	for _, commands := range []int{0, 3} {
		e := newExchange(t)
		h, former := e.start(head), e.start(lost)
		for _, r := range []*Replica{h, former} {
			e.step(r, func(time.Duration) { r.Install(first) })
		}
		e.run(time.Second)
		for i := range commands {
			e.step(h, func(now time.Duration) { h.Propose(now, uint64(i+1), []byte("command")) })
			e.deliverAll()
		}
		if h.committed != uint64(commands) {
			t.Fatalf("committed before the loss: got %d, want %d", h.committed, commands)
		}
		learner := e.start(view.Member{Replica: 3, Address: lost.Address})
		e.step(learner, func(time.Duration) { learner.Install(first) })
		e.step(learner, func(now time.Duration) { learner.Follow(now, head.Address) })
		e.deliverAll()
		if !learner.caughtUp() || learner.synced != uint64(commands) {
			t.Fatalf("learner after all messages: got %+v, want it caught up at %d", learner.Status(), commands)
		}
		// The head has noticed nothing so far; now its session with the lost member times out, again and again.
		e.step(h, func(now time.Duration) { h.connect(now, h.successor) })
		e.run(5 * time.Second)
		if !learner.caughtUp() || learner.synced != uint64(commands) {
			t.Errorf("learner with %d commands, while the head goes on connecting to the lost member: got %+v, upstream %+v, want it caught up",
				commands, learner.Status(), learner.upstream)
		}
		second := view.View{Epoch: 2, Members: []view.Member{head, {Replica: 3, Address: lost.Address, Joined: 2}}}
		e.step(h, func(time.Duration) { h.Install(second) })
		e.run(2 * time.Second)
		if !learner.complete() || !h.headReady() {
			t.Errorf("view with the learner in place of the lost member: got %+v and head %+v, want both complete", learner.Status(), h.Status())
		}
	}
}

// TestSessionThatTheReceiverDoesNotHaveIsReplaced guards against a member that waits for ever: it was restarted and took a late
// message of an earlier session, while its predecessor has nothing to send and counts the session as established.
func TestSessionThatTheReceiverDoesNotHaveIsReplaced(t *testing.T) {
	head := view.Member{Replica: 1, Address: addressOf(0), Joined: 1}
	tail := view.Member{Replica: 2, Address: addressOf(1), Joined: 1}
	v := view.View{Epoch: 1, Members: []view.Member{head, tail}}
	e := newExchange(t)
	h, former := e.start(head), e.start(tail)
	for _, r := range []*Replica{h, former} {
		e.step(r, func(time.Duration) { r.Install(v) })
	}
	e.run(time.Second)
	late := Connect{Session: h.successor.session}
	e.step(h, func(now time.Duration) { h.connect(now, h.successor) })
	e.run(time.Second)
	restarted := e.startFrom(tail, Recovered{Record: Record{View: v, CompleteEpoch: 1, Generation: 1}})
	// What the restarted member sends at once is lost.
	e.queue = nil
	e.deliver(delivery{head.Address, Outgoing{tail.Address, Envelope{Epoch: 1, Sender: head.Replica, Receiver: tail.Replica, Body: late}}})
	e.run(5 * time.Second)
	if !restarted.upstream.started || !h.headReady() {
		t.Errorf("5 s after the late message: got upstream %+v and head %+v, want a session and a ready head", restarted.upstream, h.Status())
	}
}
