package gossip

import (
	"cmp"
	"math"
	"time"
)

// ControlRole is the role of control processes, which are the first members to have the newest versions.
const ControlRole = "control"

// UnknownAge is the age that stands for a missing proof.
const UnknownAge = time.Duration(math.MaxInt64)

// Topic names a value of which all members keep the newest version.
type Topic uint8

// The topics.
const (
	// Configuration is the configuration that the operator has set.
	Configuration Topic = iota
	// Backends is the list of backends.
	Backends
	// Placement is the placement of the batch partitions.
	Placement

	topicCount
)

// Version orders the values of a topic. Two values of a topic with the same version are identical.
type Version struct {
	Epoch, Sequence uint64
}

// Compare returns -1 if v is older than other, 1 if it is newer, and 0 if they are equal.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Sequence, other.Sequence))
}

// newerThan reports whether v is newer than other.
func (v Version) newerThan(other Version) bool { return v.Compare(other) > 0 }

// Value is one version of a topic. It is immutable.
type Value struct {
	Topic   Topic
	Version Version
	Data    []byte
}
