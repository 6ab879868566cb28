package member

import (
	"testing"
	"time"
)

// countLeaveEnds runs the events and counts the outputs that end the leave.
func countLeaveEnds(m *membership, events ...func()) (count int) {
	for _, event := range events {
		event()
		if m.Take(true).left {
			count++
		}
	}
	return count
}

// Acks that come after the last announcement must not end the leave again: the service closes a channel at the end, and a
// second close would panic.
func TestLateAcksDoNotEndTheLeaveAgain(t *testing.T) {
	s := newJoinedSimulation(t, 1, 16)
	m := s.nodes[s.order[0]].membership
	m.Take(true)
	ack := func() {
		m.receive(s.clock.Now(), s.order[1], &message{messageType: ackMessage, sequence: m.leaver.sequence})
	}
	events := []func(){func() { m.leave(s.clock.Now()) }}
	for attempt := range maxLeaveAttempts + 1 {
		events = append(events, func() { m.Advance(s.clock.Now() + time.Duration(attempt+1)*leaveRetryInterval) })
	}
	events = append(events, ack, ack, ack)
	if got := countLeaveEnds(m, events...); got != 1 {
		t.Errorf("ends of the leave: got %d, want 1", got)
	}
}

// A member that the exchange partner considers dead is suspected with the incarnation that the partner knows, and the
// digest is updated with that incarnation.
func TestVerifiedDeathUpdatesTheDigest(t *testing.T) {
	s := newJoinedSimulation(t, 1, 16)
	m := s.nodes[s.order[0]].membership
	known := m.members[s.order[1]]
	theirs := known.member.assertion()
	theirs.incarnation += 3
	theirs.state = Dead
	m.verifyDeath(s.clock.Now(), known, theirs)
	if known.member.State != Suspect || known.member.Incarnation != theirs.incarnation {
		t.Errorf("member: got %v of incarnation %d, want %v of %d", known.member.State, known.member.Incarnation, Suspect, theirs.incarnation)
	}
	var want uint64
	for _, e := range m.order {
		if e.member.Running() {
			want += digestOf(&e.member)
		}
	}
	if m.digest != want {
		t.Errorf("digest: got %x, want %x as computed from the list", m.digest, want)
	}
}
