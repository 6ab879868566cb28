package member

import (
	"net/netip"
	"time"
)

// updateSelf changes the own record and broadcasts it. Address and generation stay as they are.
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

// raiseIncarnation sets the own incarnation and broadcasts the record at once.
func (m *membership) raiseIncarnation(now time.Duration, incarnation uint64) {
	m.modify(now, m.self, func(self *Member) { self.Incarnation = incarnation })
	m.enqueueBroadcast(now, m.self.member.Address)
	m.broadcasts.due = now
}

// applyRecord applies a record that a datagram carried.
func (m *membership) applyRecord(now time.Duration, record *Member) {
	known := m.admit(now, record, m.enqueueBroadcast)
	if known != nil && record.assertion().supersedes(known.member.assertion()) {
		m.replaceRecord(now, known, record)
		m.enqueueBroadcast(now, record.Address)
	}
}

// admit returns the entry of the member that a record describes. It is nil, and the record is done with, if the record is of
// this process, or of a member that was not known until now; one that runs is added and broadcast.
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

// applyAssertion applies a change of state that a datagram carried.
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

// refute answers an assertion about this process, or about an earlier one at its address, with a higher incarnation, unless
// it is true or out of date.
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

// modify changes a member and keeps what depends on it up to date.
func (m *membership) modify(now time.Duration, e *entry, change func(*Member)) {
	before := e.member
	change(&e.member)
	after := &e.member
	if before.State == Suspect && after.State == Alive && before.Generation == after.Generation {
		e.lenientUntil = now + leniencyPeriod
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
