package member

import (
	"encoding/binary"
	"time"
)

// The digest is the sum of the FNV-1a hashes of the running members. A sum can be updated member by member.
const (
	digestInputBytes = 24
	fnvOffset        = 14695981039346656037
	fnvPrime         = 1099511628211
)

// digestOf returns the hash that a member adds to the digest. It covers neither the state nor the text fields: each
// change of a record comes with a new incarnation, and alive and suspect members both count as running.
func digestOf(member *Member) uint64 {
	var data [digestInputBytes]byte
	binary.LittleEndian.PutUint64(data[:], packAddress(member.Address))
	binary.LittleEndian.PutUint64(data[8:], member.Generation)
	binary.LittleEndian.PutUint64(data[16:], member.Incarnation)
	hash := uint64(fnvOffset)
	for _, b := range data {
		hash ^= uint64(b)
		hash *= fnvPrime
	}
	return hash
}

// updateDigest updates the digest and the number of running members after the change of a member.
func (m *membership) updateDigest(now time.Duration, before, after *Member) {
	previous, current := digestOf(before), digestOf(after)
	if before.Running() {
		m.running--
		m.digest -= previous
	}
	if after.Running() {
		m.running++
		m.digest += current
	}
	if before.Running() != after.Running() || previous != current {
		m.digestChangedAt = now
	}
}
