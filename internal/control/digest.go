package control

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies a change of the configuration that an operator has requested.
type Digest struct{ High, Low uint64 }

// Digest returns the digest of a change: the same for the same bytes, sent as the same kind of change on the same version.
func (c *Configure) Digest() Digest {
	hash := sha256.New()
	header := [9]byte{}
	if c.Patch {
		header[0] = 1
	}
	binary.LittleEndian.PutUint64(header[1:], c.Match)
	hash.Write(header[:])
	hash.Write(c.Body)
	sum := hash.Sum(nil)
	return Digest{High: binary.LittleEndian.Uint64(sum), Low: binary.LittleEndian.Uint64(sum[8:])}
}

// Numbers of digests that are remembered. They are the same at all replicas, as the outcome of commands depends on them.
const (
	maximumAcceptedDigests = 4096
	maximumRefusedDigests  = 256
)

// digestHistory remembers the latest digests, up to a limit, in the sequence in which they were added.
type digestHistory struct {
	limit  int
	queue  []Digest
	member map[Digest]bool
}

func newDigestHistory(limit int) *digestHistory {
	return &digestHistory{limit: limit, member: map[Digest]bool{}}
}

func (h *digestHistory) has(digest Digest) bool { return h.member[digest] }

// add appends a digest that is not remembered yet, and forgets the oldest one if there are too many.
func (h *digestHistory) add(digest Digest) {
	if h.member[digest] {
		return
	}
	if len(h.queue) == h.limit {
		delete(h.member, h.queue[0])
		h.queue = h.queue[1:]
	}
	h.queue = append(h.queue, digest)
	h.member[digest] = true
}

// restore replaces the content.
func (h *digestHistory) restore(digests []Digest) {
	h.queue = nil
	h.member = make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		h.add(digest)
	}
}
