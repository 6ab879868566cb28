package peer

import (
	"net/netip"
	"sync/atomic"
)

const (
	kindBlock = 0x100 // kinds of one package
	blocks    = int(LoadKinds/kindBlock) + 1

	// datagramHeaders are those of IPv4 and UDP.
	datagramHeaders = 28
)

// Traffic is what a transport has sent of the messages of one package: frames, and datagrams with their headers, but not
// the headers of TCP connections.
type Traffic struct {
	// Near are bytes to processes of the own zone, Far those to others.
	Near, Far uint64
}

// PackageTraffic is the traffic of one package.
type PackageTraffic struct {
	Package string
	Traffic
}

// packageNames are those of the blocks of kinds.
var packageNames = [blocks]string{"peer", "member", "gossip", "chain", "quota", "batch", "control", "load"}

// SentByPackage is what has been sent since the start, of those packages of which anything was.
func (t *Transport) SentByPackage() []PackageTraffic {
	var all []PackageTraffic
	for i := range t.sent {
		sent := t.Sent(Kind(i * kindBlock))
		if sent != (Traffic{}) {
			all = append(all, PackageTraffic{Package: packageNames[i], Traffic: sent})
		}
	}
	return all
}

// trafficCounter counts what is sent of the messages of one package.
type trafficCounter struct{ near, far atomic.Uint64 }

// SetNear tells the transport which peers are in the own zone, for its counts of bytes. It is called before Start; without
// it all are.
func (t *Transport) SetNear(near func(netip.AddrPort) bool) { t.near = near }

// Sent is what has been sent since the start of the messages of the package whose first kind this is.
func (t *Transport) Sent(first Kind) Traffic {
	counter := &t.sent[block(first)]
	return Traffic{Near: counter.near.Load(), Far: counter.far.Load()}
}

func (t *Transport) count(to netip.AddrPort, kind Kind, bytes int) {
	counter := &t.sent[block(kind)]
	if t.near == nil || t.near(to) {
		counter.near.Add(uint64(bytes))
		return
	}
	counter.far.Add(uint64(bytes))
}

// block numbers the packages. Unknown kinds count as the transport's own.
func block(kind Kind) int {
	number := int(kind / kindBlock)
	if number >= blocks {
		return 0
	}
	return number
}
