package member

import (
	"net/netip"
	"time"
)

// updateSelf changes the record of this process and broadcasts it. Changes of address and generation are undone.
func (m *membership) updateSelf(now time.Duration, change func(*Member)) {
	m.modify(now, m.self, func(self *Member) {
		address, generation := self.Address, self.Generation
		change(self)
		self.Address = address
		self.Generation = generation
	})
	m.raiseIncarnation(now, m.self.member.Incarnation+1)
	m.Advance(now)
}

// raiseIncarnation sets the incarnation of this process and broadcasts its record without delay.
func (m *membership) raiseIncarnation(now time.Duration, incarnation uint64) {
	m.modify(now, m.self, func(self *Member) { self.Incarnation = incarnation })
	m.enqueueBroadcast(now, m.self.member.Address)
	m.broadcasts.due = now
}

// applyRecord applies a record received from another member.
func (m *membership) applyRecord(now time.Duration, record *Member) {
	known := m.admit(now, record, m.enqueueBroadcast)
	if known != nil && record.assertion().supersedes(known.member.assertion()) {
		m.replaceRecord(now, known, record)
		m.enqueueBroadcast(now, record.Address)
	}
}

// admit returns the entry of the member that a record describes. It returns nil if the record needs no further
// handling: one about this process is refuted if necessary, and one of an unknown member is added and broadcast if the
// member runs.
func (m *membership) admit(now time.Duration, record *Member, broadcast func(time.Duration, netip.AddrPort)) *entry {
	if record.Address == m.self.member.Address {
		m.refute(now, record.assertion())
		return nil
	}
	known := m.members[record.Address]
	if known == nil && record.Running() {
		m.add(now, record)
		broadcast(now, record.Address)
	}
	return known
}

// applyAssertion applies an assertion received in a datagram.
func (m *membership) applyAssertion(now time.Duration, asserted assertion) {
	if asserted.address == m.self.member.Address {
		m.refute(now, asserted)
		return
	}
	known := m.members[asserted.address]
	if known != nil && asserted.supersedes(known.member.assertion()) {
		m.setState(now, known, asserted)
		m.enqueueBroadcast(now, asserted.address)
	}
}

// refute raises the incarnation of this process above that of an assertion about it, or about an earlier process at its
// address, unless the assertion is true or outdated.
func (m *membership) refute(now time.Duration, asserted assertion) {
	own := m.self.member.assertion()
	if asserted.incarnation < own.incarnation || asserted == own {
		return
	}
	m.raiseIncarnation(now, asserted.incarnation+1)
}

func (m *membership) add(now time.Duration, record *Member) {
	e := &entry{member: Member{Address: record.Address, State: Dead}}
	m.insertEntry(e)
	m.replaceRecord(now, e, record)
}

func (m *membership) replaceRecord(now time.Duration, e *entry, record *Member) {
	m.modify(now, e, func(current *Member) { *current = *record })
}

func (m *membership) setState(now time.Duration, e *entry, asserted assertion) {
	m.modify(now, e, func(current *Member) {
		current.Generation = asserted.generation
		current.Incarnation = asserted.incarnation
		current.State = asserted.state
	})
}

// modify changes a member, and updates the state that depends on it, such as the digest and the suspicion deadline.
func (m *membership) modify(now time.Duration, e *entry, change func(*Member)) {
	before := e.member
	change(&e.member)
	after := &e.member
	if before.State == Suspect && after.State == Alive && before.Generation == after.Generation {
		e.extendedTimeoutUntil = now + extendedTimeoutPeriod
	}
	m.updateDigest(now, &before, after)
	if after.Running() && !before.Running() {
		m.prober.insert(m.random, after.Address)
	}
	m.tableChanged = true
	switch after.State {
	case Alive:
	case Suspect:
		m.beginSuspicion(now, e)
	case Dead, Left:
		e.endedAt = now
	}
}
