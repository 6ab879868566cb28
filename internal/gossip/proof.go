package gossip

import "time"

// proof states that the version was the newest at asOf, a time by the local clock. The zero value stands for no proof.
type proof struct {
	known   bool
	version Version
	asOf    time.Duration
}

// ageFor returns the age of the proof if it shows that no version newer than the given one existed, UnknownAge otherwise.
func (p proof) ageFor(version Version, now time.Duration) time.Duration {
	if !p.known || p.version.newerThan(version) {
		return UnknownAge
	}
	return max(now-p.asOf, 0)
}

// newest returns the proof that the arguments describe if it is for a newer version than p, or for the same version at a
// later time. Otherwise it returns p.
func (p proof) newest(version Version, asOf time.Duration) proof {
	older := p.known && p.version.newerThan(version)
	younger := !p.known || version.newerThan(p.version) || asOf > p.asOf
	if older || !younger {
		return p
	}
	return proof{known: true, version: version, asOf: asOf}
}
