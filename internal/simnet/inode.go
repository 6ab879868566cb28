package simnet

import (
	"math/rand/v2"
	"slices"
)

// inode is a file of a simulated disk, independent of its names.
type inode struct {
	// data is what a process reads, and synced what survives any loss of power. After a failed sync they may differ though there
	// are no changes.
	data   []byte
	synced []byte
	// changes are those that the next sync covers, in order.
	changes []change
	// named is set during a loss of power when the first name of the file has been found.
	named bool
}

// change is a write at an offset, or a truncation to it if data is nil.
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
	n.data = resize(n.data, size)
}

// rewrite writes data at an offset within the file.
func (n *inode) rewrite(data []byte, offset int) {
	n.changes = append(n.changes, change{offset: offset, data: slices.Clone(data)})
	n.data = overwrite(n.data, offset, data)
}

// sync makes the changes durable.
func (n *inode) sync() {
	for _, c := range n.changes {
		n.synced = c.apply(n.synced)
	}
	n.changes = nil
}

// failSync makes some of the changes durable. No later sync covers the others. A process reads either what is durable or, since the
// system may keep in memory what it could not write, all that was written.
func (n *inode) failSync(random *rand.Rand, o lossOutcome) {
	for _, c := range n.changes {
		n.synced = c.afterLoss(random, o, n.synced)
	}
	n.changes = nil
	if random.IntN(2) == 0 {
		n.data = slices.Clone(n.synced)
	}
}

// markSynced makes all that a process reads durable.
func (n *inode) markSynced() {
	n.synced = slices.Clone(n.data)
	n.changes = nil
}

// copyIfNamed returns the inode at the first call and a copy of it at later ones, because no two names share a file
// after a loss of power.
func (n *inode) copyIfNamed() *inode {
	if !n.named {
		n.named = true
		return n
	}
	return &inode{data: slices.Clone(n.data), synced: slices.Clone(n.synced), changes: slices.Clone(n.changes)}
}

// lossOutcome is what happens to the unsynced changes of a file at a loss of power.
type lossOutcome int

const (
	drawnPerChange lossOutcome = iota // each change is present, missing or torn
	allMissing
	allPresent
	lossOutcomeCount
)

func drawLossOutcome(random *rand.Rand) lossOutcome {
	return lossOutcome(random.IntN(int(lossOutcomeCount)))
}

// loseUnsyncedChanges decides which of the unsynced changes remain after a loss of power.
func (n *inode) loseUnsyncedChanges(random *rand.Rand, o lossOutcome) {
	data := slices.Clone(n.synced)
	for _, c := range n.changes {
		data = c.afterLoss(random, o, data)
	}
	n.data = data
	n.markSynced()
}

// What happens to a single change if the outcome is drawnPerChange.
const (
	present = iota
	missing
	torn
	changeOutcomeCount
)

// afterLoss applies what remains of the change to the data of a file, and returns the new data.
func (c change) afterLoss(random *rand.Rand, o lossOutcome, data []byte) []byte {
	outcome := random.IntN(changeOutcomeCount)
	if o == allPresent {
		outcome = present
	}
	if o == allMissing {
		outcome = missing
	}
	switch {
	case outcome == missing:
		return data
	case outcome == torn && c.data != nil:
		first, last := tornRange(random, len(c.data))
		return overwrite(data, c.offset+first, c.data[first:last])
	}
	return c.apply(data)
}

// apply applies the whole change to the data of a file, and returns the new data.
func (c change) apply(data []byte) []byte {
	if c.data == nil {
		return resize(data, c.offset)
	}
	return overwrite(data, c.offset, c.data)
}

// tornRange returns the range of a torn write that is present. In most cases it is the beginning of the write.
func tornRange(random *rand.Rand, length int) (first, last int) {
	last = random.IntN(length + 1)
	if random.IntN(4) == 0 {
		first = random.IntN(last + 1)
	}
	return first, last
}

func overwrite(data []byte, offset int, with []byte) []byte {
	if len(with) == 0 {
		return data
	}
	if end := offset + len(with); end > len(data) {
		data = resize(data, end)
	}
	copy(data[offset:], with)
	return data
}

// resize truncates the data or extends it with zeros.
func resize(data []byte, size int) []byte {
	if size <= len(data) {
		return data[:size]
	}
	return append(data, make([]byte, size-len(data))...)
}
