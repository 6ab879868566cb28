package discovery

import (
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// decodedList is the decoded form of a published version.
type decodedList struct {
	sequence uint64
	list     *List
}

// publishOrCertify certifies the current version if the polled list has the same backends. Otherwise it publishes the
// polled list, unless a newer version or proof has arrived since the poll started. The version that was current when
// the poll started, or that the poll itself has published since, is passed as before.
func (p *Poller) publishOrCertify(list *List, before uint64, startedAt, now time.Time) {
	current, known := p.distribution.Current()
	if known && p.decodeCurrent(current) && sameBackends(p.decoded.list, list) {
		p.distribution.Certify(current.Sequence, startedAt)
		return
	}
	latest, known := p.distribution.Current()
	newer := proofAge(latest, known) < now.Sub(startedAt)
	if latest.Sequence != before || newer {
		return
	}
	next, published := p.publish(latest.Sequence, list)
	if !published {
		return
	}
	p.distribution.Certify(next, startedAt)
	p.log.Info("list of backends changed", zap.Int("backends", list.Len()), zap.Uint64("version", next>>writerBits))
}

// publishDraining marks those backends of the current list that a page shows as draining, publishes the list, and
// returns its version. It returns false if nothing was published. Draining backends are about to shut down, so
// publishDraining does not wait for the rest of a long listing. The proof of the new version is as old as that of the
// previous one.
func (p *Poller) publishDraining(page []Backend) (uint64, bool) {
	now := time.Now() // read before the age, so that the proof does not appear younger than it is
	current, known := p.distribution.Current()
	if !known || !p.decodeCurrent(current) {
		return 0, false
	}
	list, changed := p.decoded.list.withDraining(page)
	if !changed {
		return 0, false
	}
	next, published := p.publish(current.Sequence, list)
	if published && current.ProofAge != unproven {
		p.distribution.Certify(next, now.Add(-current.ProofAge))
	}
	return next, published
}

// publish publishes a list as the version after the given one. It returns the new version, and false if encoding
// failed.
func (p *Poller) publish(sequence uint64, list *List) (uint64, bool) {
	encoded, err := Encode(list)
	if err != nil {
		p.log.Error("encode list of backends failed", zap.Error(err))
		return 0, false
	}
	next := nextSequence(sequence, p.self)
	p.decoded = decodedList{sequence: next, list: list}
	p.distribution.Publish(next, encoded)
	return next, true
}

// decodeCurrent decodes the current version into p.decoded, unless it is there already. It reports success.
func (p *Poller) decodeCurrent(current CurrentList) bool {
	if p.decoded.list != nil && p.decoded.sequence == current.Sequence {
		return true
	}
	list, err := Decode(current.Data)
	if err != nil {
		p.log.Error("decode list of backends failed", zap.Uint64("sequence", current.Sequence), zap.Error(err))
		return false
	}
	p.decoded = decodedList{sequence: current.Sequence, list: list}
	return true
}

// The low bits of a sequence number identify its writer, so that no two writers use the same number.
const (
	writerBits = 36
	portBits   = 4 // the internal ports of the processes on one machine differ in their low 4 bits
)

// nextSequence returns a sequence number above the given one that no other writer uses.
func nextSequence(sequence uint64, writer netip.AddrPort) uint64 {
	address := writer.Addr().As4()
	number := uint64(address[0])<<24 | uint64(address[1])<<16 | uint64(address[2])<<8 | uint64(address[3])
	number = number<<portBits | uint64(writer.Port())&(1<<portBits-1)
	return (sequence>>writerBits+1)<<writerBits | number
}

// sameBackends reports whether two lists, ordered by ID, hold the same backends. The remaining cold time differs in
// each poll, so only whether a backend is cold is compared.
func sameBackends(a, b *List) bool {
	if len(a.backends) != len(b.backends) {
		return false
	}
	for i := range a.backends {
		x, y := a.backends[i], b.backends[i]
		if (x.ColdRemaining > 0) != (y.ColdRemaining > 0) {
			return false
		}
		x.ColdRemaining, y.ColdRemaining = 0, 0
		if x != y {
			return false
		}
	}
	return true
}
