package gossip

import (
	"slices"
	"time"
)

// maxFormerProofs is the number of versions before the local one whose proofs are kept. It covers changes that follow each
// other more quickly than a subscriber applies them.
const maxFormerProofs = 8

// entry is the state of one topic in this process.
type entry struct {
	present bool // whether there is a local version
	value   Value
	history history
	// proof is the latest proof for the local version.
	proof proof
	// former holds the latest proofs for the versions before the local one, at most maxFormerProofs. The process may go on using
	// such a version until the subscribers have been called with the local one.
	former []proof
	// pendingProof is the latest proof for a version that is newer than the local one and has not arrived yet.
	pendingProof proof
	fetch        pendingFetch
}

// lacks reports whether the version is newer than the local one.
func (e *entry) lacks(v Version) bool { return !e.present || v.newerThan(e.value.Version) }

// store replaces the value if the new one is newer, and reports whether it is. The steps lead from the local version to
// the new one; there are none if they are unknown.
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
	e.keepFormer(e.proof)
	e.proof = proof{}
	if e.pendingProof.known && e.pendingProof.version == v.Version {
		e.proof = e.pendingProof
	}
	if e.pendingProof.known && !e.pendingProof.version.newerThan(v.Version) {
		e.pendingProof = proof{}
	}
	if e.fetch.valid && !e.fetch.version.newerThan(v.Version) {
		e.fetch.valid = false
	}
	return true
}

// certify records a proof. A proof for a version older than the local one is ignored.
func (e *entry) certify(version Version, asOf time.Duration) {
	switch {
	case e.lacks(version):
		e.pendingProof = e.pendingProof.newest(version, asOf)
	case version == e.value.Version:
		e.proof = e.proof.newest(version, asOf)
	}
}

// keepFormer keeps the proof for a version that is being replaced.
func (e *entry) keepFormer(p proof) {
	if !p.known {
		return
	}
	if len(e.former) >= maxFormerProofs {
		e.former = slices.Delete(e.former, 0, 1)
	}
	e.former = append(e.former, p)
}

// ageOf returns the age of the latest proof that no version newer than the given one existed, UnknownAge if there is none. A
// proof for an older version is such a proof, one for a newer version is not.
func (e *entry) ageOf(version Version, now time.Duration) time.Duration {
	age := e.proof.ageFor(version, now)
	for _, p := range e.former {
		age = min(age, p.ageFor(version, now))
	}
	return age
}

// age returns the age of the proof for the local version, UnknownAge if there is no proof.
func (e *entry) age(now time.Duration) time.Duration {
	if !e.proof.known {
		return UnknownAge
	}
	return max(now-e.proof.asOf, 0)
}
