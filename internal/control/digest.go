package control

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies a change of the configuration that an operator has requested. It is the first half of a SHA-256 hash.
type Digest struct{ High, Low uint64 }

// Digest returns the digest of a change. Two changes have the same digest if Patch, Match and Body are the same.
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

// Numbers of digests that are remembered. They must be the same at all replicas, as the outcome of commands depends on them.
const (
	maxAcceptedDigests = 4096
	maxRefusedDigests  = 256
)

// digestHistory remembers the latest digests, up to a limit, in the order in which they were added.
type digestHistory struct {
	limit   int
	queue   []Digest
	present map[Digest]bool
}

func newDigestHistory(limit int) *digestHistory {
	return &digestHistory{limit: limit, present: map[Digest]bool{}}
}

func (h *digestHistory) has(digest Digest) bool { return h.present[digest] }

// add appends a digest that is not remembered yet, and forgets the oldest one if there are too many.
func (h *digestHistory) add(digest Digest) {
	if h.present[digest] {
		return
	}
	if len(h.queue) == h.limit {
		delete(h.present, h.queue[0])
		h.queue = h.queue[1:]
	}
	h.queue = append(h.queue, digest)
	h.present[digest] = true
}

// restore replaces the content by digests, the oldest first.
func (h *digestHistory) restore(digests []Digest) {
	h.queue = nil
	h.present = make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		h.add(digest)
	}
}
