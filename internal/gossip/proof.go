package gossip

import "time"

// proof says that at a time by the own clock the version was the newest. Its zero value is no proof.
type proof struct {
	known   bool
	version Version
	asOf    time.Duration
}

// newest returns p, or the proof of the arguments if that is for a newer version, or for the same one at a later time.
func (p proof) newest(version Version, asOf time.Duration) proof {
	older := p.known && p.version.newerThan(version)
	younger := !p.known || version.newerThan(p.version) || asOf > p.asOf
	if older || !younger {
		return p
	}
	return proof{known: true, version: version, asOf: asOf}
}
