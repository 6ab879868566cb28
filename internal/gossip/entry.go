package gossip

import "time"

// entry is what this process has of one topic.
type entry struct {
	present bool // whether it has any version
	value   Value
	history history
	// proof is the newest one for the present version.
	proof proof
	// proofAhead is the newest one for a version above the present one, which is not here yet.
	proofAhead proof
	fetch      pendingFetch
}

// lacks reports whether the version is above the present one.
func (e *entry) lacks(v Version) bool { return !e.present || v.newerThan(e.value.Version) }

// store replaces the value if the new one is newer, and reports whether it is. Steps lead to it from the present one, where
// they are known.
func (e *entry) store(v Value, steps []step) bool {
	if !e.lacks(v.Version) {
		return false
	}
	if len(steps) > 0 && (!e.present || steps[0].from != e.value.Version) {
		steps = nil
	}
	e.history.extend(steps)
	e.present = true
	e.value = v
	e.proof = proof{}
	if e.proofAhead.known && e.proofAhead.version == v.Version {
		e.proof = e.proofAhead
	}
	if e.proofAhead.known && !e.proofAhead.version.newerThan(v.Version) {
		e.proofAhead = proof{}
	}
	if e.fetch.valid && !e.fetch.version.newerThan(v.Version) {
		e.fetch.valid = false
	}
	return true
}

// certify notes a proof. One for a version below the present one is of no use.
func (e *entry) certify(version Version, asOf time.Duration) {
	switch {
	case e.lacks(version):
		e.proofAhead = e.proofAhead.newest(version, asOf)
	case version == e.value.Version:
		e.proof = e.proof.newest(version, asOf)
	}
}

// age returns how long ago the present version was proven to be the newest, UnknownAge if it is not proven.
func (e *entry) age(now time.Duration) time.Duration {
	if !e.proof.known {
		return UnknownAge
	}
	return max(now-e.proof.asOf, 0)
}
