package member

import "net/netip"

type messageType uint8

const (
	// pingMessage asks for an ack with its sequence.
	pingMessage messageType = iota
	ackMessage
	// indirectPingMessage asks the receiver to probe the target and to pass the ack on.
	indirectPingMessage
	rumourMessage
)

// message is a datagram. Updates travel on all of them.
type message struct {
	messageType messageType
	sequence    uint64
	generation  uint64         // ack: of the process that was probed
	target      netip.AddrPort // indirect ping
	running     uint32         // members that the sender holds to be alive, itself included
	digest      uint64         // stands for those members
	records     []Member
	claims      []claim
}

// exchangeRequest asks for the whole list, if it differs from what the digest stands for.
type exchangeRequest struct {
	digest uint64
	self   Member
}

type exchangeAnswer struct {
	equal   bool
	records []Member
}

// datagram is a message to be sent.
type datagram struct {
	to      netip.AddrPort
	message message
}
