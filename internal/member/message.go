package member

import "net/netip"

type messageType uint8

const (
	// pingMessage asks for an ack with its sequence.
	pingMessage messageType = iota
	// ackMessage answers a ping.
	ackMessage
	// indirectPingMessage asks the receiver to ping the target and to pass the ack on.
	indirectPingMessage
	// rumorMessage only carries updates (rumor mongering).
	rumorMessage
)

// message is the content of a datagram. Each type carries updates: the record of a member that is alive, and only the
// assertion about any other.
type message struct {
	messageType messageType
	sequence    uint64         // ping, ack, indirect ping
	generation  uint64         // ack: of the process that was pinged
	target      netip.AddrPort // indirect ping
	running     uint32         // number of members that the sender considers running, itself included
	digest      uint64         // over these members
	records     []Member
	assertions  []assertion
}

// exchangeRequest asks for the whole list if its digest differs from the given one.
type exchangeRequest struct {
	digest uint64
	self   Member // of the requester
}

// exchangeResponse holds all members, or none if the digests are equal.
type exchangeResponse struct {
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
