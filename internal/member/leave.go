package member

import (
	"net/netip"
	"time"
)

const (
	// leaveTargets is the number of members that each announcement of a leave is sent to.
	leaveTargets = 8
	// leaveAcks is the number of acks that confirm a leave.
	leaveAcks = 2
	// leaveRetryInterval is the time from one announcement to the next, of maxLeaveAttempts at most.
	leaveRetryInterval = 100 * time.Millisecond
	maxLeaveAttempts   = 5
)

// leaver announces the planned end of this process.
type leaver struct {
	begun             bool
	sequence          uint64
	remainingAcks     int
	remainingAttempts int
	deadline          time.Duration
	completed         bool
}

// leave announces the end of this process, which takes no further part in the protocol.
func (m *membership) leave(now time.Duration) {
	if m.leaver.begun {
		return
	}
	m.self.member.Incarnation++
	m.self.member.State = Left
	m.output.publish = true
	m.leaver = leaver{
		begun:             true,
		sequence:          m.prober.nextSequence(),
		remainingAcks:     min(leaveAcks, m.running-1),
		remainingAttempts: maxLeaveAttempts,
	}
	m.announceLeave(now)
}

func (m *membership) announceLeave(now time.Duration) {
	if m.leaver.remainingAcks <= 0 || m.leaver.remainingAttempts == 0 {
		m.completeLeave()
		return
	}
	m.leaver.remainingAttempts--
	m.leaver.deadline = now + leaveRetryInterval
	announcement := message{
		messageType: pingMessage,
		sequence:    m.leaver.sequence,
		assertions:  []assertion{m.self.member.assertion()},
	}
	for _, target := range m.pickRandom(leaveTargets, netip.AddrPort{}) {
		m.output.datagrams = append(m.output.datagrams, datagram{to: target, message: announcement})
	}
}

// completeLeave ends the announcements. It outputs the end of the leave only once, as acks may still come after the last
// attempt.
func (m *membership) completeLeave() {
	if m.leaver.completed {
		return
	}
	m.leaver.completed = true
	m.leaver.deadline = never
	m.output.left = true
}

func (m *membership) advanceLeaving(now time.Duration) {
	if now >= m.leaver.deadline {
		m.announceLeave(now)
	}
}

// receiveLeaveAck counts the acks of the announcement and ignores every other message.
func (m *membership) receiveLeaveAck(received *message) {
	if received.messageType != ackMessage || received.sequence != m.leaver.sequence || m.leaver.remainingAcks <= 0 {
		return
	}
	m.leaver.remainingAcks--
	if m.leaver.remainingAcks == 0 {
		m.completeLeave()
	}
}
