package member

import "net/netip"

type messageType uint8

const (
	// pingMessage asks for an ack with its sequence.
	pingMessage messageType = iota
	// ackMessage answers a ping.
	ackMessage
	// indirectPingMessage asks the receiver to probe the target and to pass the ack on.
	indirectPingMessage
	// rumourMessage only carries updates (rumor mongering).
	rumourMessage
)

// message is a datagram. Updates travel on all of them: as a record if the member is alive, else as a bare assertion.
type message struct {
	messageType messageType
	sequence    uint64         // ping, ack, indirect ping
	generation  uint64         // ack: of the process that was probed
	target      netip.AddrPort // indirect ping
	running     uint32         // members that the sender holds to be running, itself included
	digest      uint64         // over those members
	records     []Member
	assertions  []assertion
}

// exchangeRequest asks for the whole list, if it differs from the one of the digest.
type exchangeRequest struct {
	digest uint64
	self   Member // of the requester
}

// exchangeAnswer holds all members, or none if the lists are equal.
type exchangeAnswer struct {
	equal   bool
	records []Member
}

// datagram is a message to be sent.
type datagram struct {
	to      netip.AddrPort
	message message
}

// exchangeCall is an exchange request to be sent.
type exchangeCall struct {
	to      netip.AddrPort
	request exchangeRequest
}
