package peer

import (
	"net/netip"
	"sync/atomic"
)

const (
	kindsPerPackage = 0x100 // size of the block of kinds of each package
	packageCount    = int(LoadKinds/kindsPerPackage) + 1

	// datagramHeaderBytes is the size of the headers of IPv4 and UDP.
	datagramHeaderBytes = 28
)

// Traffic is the number of bytes that a transport has sent in messages of one package: frames, and datagrams with their
// IPv4 and UDP headers, but not TCP and IP headers of connections.
type Traffic struct {
	// SameZone counts bytes sent to processes in the zone of this process, OtherZones bytes sent to all other processes.
	SameZone, OtherZones uint64
}

// PackageTraffic is the traffic of one package.
type PackageTraffic struct {
	Package string
	Traffic
}

// packageNames are the names of the packages, by packageIndex.
var packageNames = [packageCount]string{"peer", "member", "gossip", "chain", "quota", "batch", "control", "load"}

// SentByPackage returns the traffic of each package since the start, without packages that have sent nothing.
func (t *Transport) SentByPackage() []PackageTraffic {
	var all []PackageTraffic
	for i := range t.sent {
		sent := t.Sent(Kind(i * kindsPerPackage))
		if sent != (Traffic{}) {
			all = append(all, PackageTraffic{Package: packageNames[i], Traffic: sent})
		}
	}
	return all
}

// trafficCounter counts the bytes sent in messages of one package.
type trafficCounter struct{ sameZone, otherZones atomic.Uint64 }

// SetSameZone sets the function that reports whether a peer is in the zone of this process, for the counts of sent
// bytes. It must be called before Start. Without it, all peers count as being in the same zone.
func (t *Transport) SetSameZone(isSameZone func(netip.AddrPort) bool) { t.sameZone = isSameZone }

// Sent returns the traffic since the start of the package whose first kind is firstKind.
func (t *Transport) Sent(firstKind Kind) Traffic {
	counter := &t.sent[packageIndex(firstKind)]
	return Traffic{SameZone: counter.sameZone.Load(), OtherZones: counter.otherZones.Load()}
}

// countSent adds the size of a sent frame to the count of the package that owns its kind.
func (t *Transport) countSent(to netip.AddrPort, kind Kind, bytes int) {
	counter := &t.sent[packageIndex(kind)]
	if t.sameZone == nil || t.sameZone(to) {
		counter.sameZone.Add(uint64(bytes))
		return
	}
	counter.otherZones.Add(uint64(bytes))
}

// packageIndex returns the index of the package that owns a kind. Unknown kinds count as the transport's own.
func packageIndex(kind Kind) int {
	number := int(kind / kindsPerPackage)
	if number >= packageCount {
		return 0
	}
	return number
}
