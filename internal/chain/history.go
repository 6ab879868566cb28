package chain

import (
	"slices"
	"sort"

	"nickelline/internal/segment"
)

// history is the part of the log that is kept in memory: all entries after base, which is committed.
type history struct {
	base    Position
	entries []segment.Entry
	// ends[i] is the total size in bytes of all entries ever held up to and including entries[i].
	ends      []uint64
	baseBytes uint64 // the same up to base
}

func newHistory(base Position, entries []segment.Entry) *history {
	h := &history{base: base}
	h.append(entries)
	return h
}

// last returns the position of the last entry.
func (h *history) last() Position {
	if len(h.entries) == 0 {
		return h.base
	}
	entry := h.entries[len(h.entries)-1]
	return Position{Epoch: entry.Epoch, Sequence: entry.Sequence}
}

// append adds entries that follow the last one.
func (h *history) append(entries []segment.Entry) {
	total := h.totalBytes()
	for _, entry := range entries {
		total += uint64(len(entry.Data))
		h.entries = append(h.entries, entry)
		h.ends = append(h.ends, total)
	}
}

// totalBytes returns the total size of all entries ever held, except truncated ones.
func (h *history) totalBytes() uint64 {
	if len(h.ends) == 0 {
		return h.baseBytes
	}
	return h.ends[len(h.ends)-1]
}

// bytes returns the total size of the entries that are held.
func (h *history) bytes() uint64 { return h.totalBytes() - h.baseBytes }

// firstWithin returns the lowest sequence such that the entries after it, up to upTo, come to at most the given number of
// bytes.
func (h *history) firstWithin(upTo, bytes uint64) uint64 {
	end := h.bytesUpTo(upTo)
	count := sort.Search(int(upTo-h.base.Sequence), func(i int) bool {
		return end-h.bytesUpTo(h.base.Sequence+uint64(i)) <= bytes
	})
	return h.base.Sequence + uint64(count)
}

// bytesUpTo returns the total size of all entries ever held up to a sequence.
func (h *history) bytesUpTo(sequence uint64) uint64 {
	if sequence <= h.base.Sequence || len(h.entries) == 0 {
		return h.baseBytes
	}
	return h.ends[min(sequence-h.base.Sequence, uint64(len(h.ends)))-1]
}

// position returns the position with a sequence, and whether it is the base or that of an entry in the history.
func (h *history) position(sequence uint64) (Position, bool) {
	if sequence == h.base.Sequence {
		return h.base, true
	}
	if sequence < h.base.Sequence || sequence > h.last().Sequence {
		return Position{}, false
	}
	return Position{Epoch: h.entries[sequence-h.base.Sequence-1].Epoch, Sequence: sequence}, true
}

// between returns the entries after one sequence up to another. Both must be in the history.
func (h *history) between(after, upTo uint64) []segment.Entry {
	if upTo <= after {
		return nil
	}
	return h.entries[after-h.base.Sequence : upTo-h.base.Sequence : upTo-h.base.Sequence]
}

// batch returns entries after a sequence up to a limit: as many as fit into a number of bytes, but at least one.
func (h *history) batch(after, limit uint64, bytes uint64) []segment.Entry {
	start := h.bytesUpTo(after)
	offset := int(after - h.base.Sequence)
	count := sort.Search(int(min(limit-after, maxBatchEntries)), func(i int) bool { return h.ends[offset+i]-start > bytes })
	return h.between(after, after+uint64(max(count, 1)))
}

// truncate drops the entries after a sequence.
func (h *history) truncate(sequence uint64) {
	keep := sequence - h.base.Sequence
	clear(h.entries[keep:])
	h.entries = h.entries[:keep]
	h.ends = h.ends[:keep]
}

// trim drops the entries up to a sequence, which becomes the base.
func (h *history) trim(sequence uint64) {
	position, ok := h.position(sequence)
	if !ok || position == h.base {
		return
	}
	drop := int(sequence - h.base.Sequence)
	h.baseBytes = h.ends[drop-1]
	h.entries = slices.Clone(h.entries[drop:])
	h.ends = slices.Clone(h.ends[drop:])
	h.base = position
}
