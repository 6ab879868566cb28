package gossip

import (
	"net/netip"
	"time"
)

// summary is the version that a member has of one topic.
type summary struct {
	topic   Topic
	version Version
	// age is that of the proof for the version, UnknownAge if there is no proof.
	age time.Duration
}

// digestAnswer holds the digest of the answering member, and the updates that the requester lacks, up to maxDigestBytes.
type digestAnswer struct {
	summaries []summary
	updates   []update
}

// fetchAnswer holds the requested update and the age of the proof for its version.
type fetchAnswer struct {
	update update
	age    time.Duration
}

// announcement is a datagram that announces new versions to members.
type announcement struct {
	to        []netip.AddrPort
	summaries []summary
}

// digestCall requests the digest of a partner, and carries the digest of this process.
type digestCall struct {
	to        netip.AddrPort
	summaries []summary
}

// fetchCall requests a value from a member.
type fetchCall struct {
	to      netip.AddrPort
	request fetchRequest
}

// fetchRequest identifies the requested value.
type fetchRequest struct {
	topic Topic
	// base is the version from which the requester can apply steps, nil if it needs the whole value.
	base *Version
}
