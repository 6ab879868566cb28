package gossip

import (
	"net/netip"
	"time"
)

// summary is the version that a member has of one topic.
type summary struct {
	topic   Topic
	version Version
	// age of the proof for the version, UnknownAge without one.
	age time.Duration
}

// digestAnswer is the digest of the partner of an exchange, with updates of what the requester lacks if they are not long.
type digestAnswer struct {
	summaries []summary
	updates   []update
}

// fetchAnswer is the update that was requested, with the age of its proof.
type fetchAnswer struct {
	update update
	age    time.Duration
}

// announcement is a datagram that announces new versions to members.
type announcement struct {
	to        []netip.AddrPort
	summaries []summary
}

// digestCall requests the digest of a partner, and carries the own one.
type digestCall struct {
	to        netip.AddrPort
	summaries []summary
}

// fetchCall requests a value from a member.
type fetchCall struct {
	to      netip.AddrPort
	request fetchRequest
}

// fetchRequest names the value that is requested.
type fetchRequest struct {
	topic Topic
	// base is the version that the requester has, nil if it needs the whole value.
	base *Version
}
