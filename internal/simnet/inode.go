package simnet

import (
	"math/rand/v2"
	"slices"
)

// inode is a file of a simulated disk, whatever its name.
type inode struct {
	// data is what a process reads, and synced what surely lasts.
	data   []byte
	synced []byte
	// changes were made since the file was synced.
	changes []change
	// named is set when a name for it has been found while power is lost.
	named bool
}

// change is a write, or a truncation if data is nil, at an offset.
type change struct {
	offset int
	data   []byte
}

func (n *inode) write(data []byte) {
	if len(data) == 0 {
		return
	}
	n.changes = append(n.changes, change{offset: len(n.data), data: slices.Clone(data)})
	n.data = append(n.data, data...)
}

func (n *inode) truncate(size int) {
	n.changes = append(n.changes, change{offset: size})
	n.data = resized(n.data, size)
}

func (n *inode) markSynced() {
	n.synced = slices.Clone(n.data)
	n.changes = nil
}

// copyIfNamed returns the inode at the first call and a copy of it later, as the names that last after a loss of power do
// not share a file.
func (n *inode) copyIfNamed() *inode {
	if !n.named {
		n.named = true
		return n
	}
	return &inode{data: slices.Clone(n.data), synced: slices.Clone(n.synced), changes: slices.Clone(n.changes)}
}

// lossOutcome is what happens to unsynced writes at a loss of power.
type lossOutcome int

const (
	eachDrawn lossOutcome = iota
	allMissing
	allPresent
	lossOutcomes
)

func drawLossOutcome(random *rand.Rand) lossOutcome {
	return lossOutcome(random.IntN(int(lossOutcomes)))
}

// losePower decides which of the unsynced changes remain after a loss of power.
func (n *inode) losePower(random *rand.Rand, o lossOutcome) {
	data := slices.Clone(n.synced)
	for _, c := range n.changes {
		data = c.afterLoss(random, o, data)
	}
	n.data = data
	n.markSynced()
}

// Outcomes of a single change where each is drawn.
const (
	present = iota
	missing
	torn
	outcomes
)

// afterLoss returns the data of a file with what remains of the change.
func (c change) afterLoss(random *rand.Rand, o lossOutcome, data []byte) []byte {
	outcome := random.IntN(outcomes)
	if o == allPresent {
		outcome = present
	}
	if o == allMissing {
		outcome = missing
	}
	switch {
	case outcome == missing:
		return data
	case c.data == nil:
		return resized(data, c.offset)
	case outcome == torn:
		first, last := tornRange(random, len(c.data))
		return overwritten(data, c.offset+first, c.data[first:last])
	}
	return overwritten(data, c.offset, c.data)
}

// tornRange returns the part of a torn write that is present: mostly its beginning.
func tornRange(random *rand.Rand, length int) (first, last int) {
	last = random.IntN(length + 1)
	if random.IntN(4) == 0 {
		first = random.IntN(last + 1)
	}
	return first, last
}

func overwritten(data []byte, offset int, with []byte) []byte {
	if len(with) == 0 {
		return data
	}
	if end := offset + len(with); end > len(data) {
		data = resized(data, end)
	}
	copy(data[offset:], with)
	return data
}

// resized cuts the data or lengthens it by zeros.
func resized(data []byte, size int) []byte {
	if size <= len(data) {
		return data[:size]
	}
	return append(data, make([]byte, size-len(data))...)
}
