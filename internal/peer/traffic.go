package peer

import (
	"net/netip"
	"sync/atomic"
)

const (
	kindsPerPackage = 0x100 // kinds that each package may use
	packageCount    = int(LoadKinds/kindsPerPackage) + 1

	// datagramHeaderBytes is the size of the headers of IPv4 and UDP.
	datagramHeaderBytes = 28
)

// Traffic is what a transport has sent of the messages of one package, in bytes: frames, and datagrams with their
// headers, but not the headers of TCP connections.
type Traffic struct {
	// SameZone is sent to processes of the same zone, OtherZones to all others.
	SameZone, OtherZones uint64
}

// PackageTraffic is the traffic of one package.
type PackageTraffic struct {
	Package string
	Traffic
}

// packageNames are the names of the packages, by packageIndex.
var packageNames = [packageCount]string{"peer", "member", "gossip", "chain", "quota", "batch", "control", "load"}

// SentByPackage returns what has been sent since the start, without packages that have sent nothing.
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

// trafficCounter counts what is sent of the messages of one package.
type trafficCounter struct{ sameZone, otherZones atomic.Uint64 }

// SetSameZone sets the function that reports whether a peer is in the zone of this process, for the counts of sent
// bytes. It must be called before Start; without it all peers are.
func (t *Transport) SetSameZone(near func(netip.AddrPort) bool) { t.sameZone = near }

// Sent returns what has been sent since the start of the messages of the package whose first kind this is.
func (t *Transport) Sent(first Kind) Traffic {
	counter := &t.sent[packageIndex(first)]
	return Traffic{SameZone: counter.sameZone.Load(), OtherZones: counter.otherZones.Load()}
}

// countSent adds to the counts of sent bytes.
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
