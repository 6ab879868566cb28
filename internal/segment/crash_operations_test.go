package segment_test

import (
	"encoding/binary"
	"errors"
	"slices"

	"nickelline/internal/segment"
	"nickelline/internal/simnet"
)

func (h *history) append() {
	var entries []segment.Entry
	states := []state{h.last()}
	h.epoch += uint64(h.random.IntN(2))
	for range 1 + h.random.IntN(4) {
		data := make([]byte, h.random.IntN(maxEntryBytes))
		for i := range data {
			data[i] = byte(h.random.Uint32())
		}
		entry := segment.Entry{Epoch: h.epoch, Sequence: states[len(states)-1].sequence + 1, Data: data}
		entries = append(entries, entry)
		states = append(states, states[len(states)-1].then(entry))
	}
	// A failed Append may have written earlier entries, but none of these.
	if h.handle(h.log.Append(entries...)) {
		h.states = append(h.states, states[1:]...)
		h.allow(states[1:]...)
	}
}

func (h *history) sync() {
	if h.handle(h.log.Sync()) {
		h.allowed = []state{h.last()}
	}
}

func (h *history) truncate() {
	base := h.states[0].sequence
	low := max(base, h.snapshotAt)
	to := low + uint64(h.random.IntN(int(h.last().sequence-low)+1))
	if err := h.log.TruncateAfter(to); err != nil {
		h.fatal("truncate to %d: %v", to, err)
	}
	h.states = h.states[:to-base+1]
	h.allow(h.last())
}

func (h *history) saveSnapshot() {
	if h.last().sequence == 0 {
		return
	}
	base := h.states[0].sequence
	low := max(base, h.snapshotAt)
	at := low + uint64(h.random.IntN(int(h.last().sequence-low)+1))
	data := binary.LittleEndian.AppendUint64(nil, h.states[at-base].digest)
	data = append(data, make([]byte, h.random.IntN(100))...)
	err := h.log.SaveSnapshot(segment.Snapshot{Epoch: h.epoch, Sequence: at, Data: data})
	if !errors.Is(err, simnet.ErrProcessEnded) {
		h.snapshotAt = at
	}
	if h.handle(err) {
		h.recoveryBases = 2
		h.allowed = []state{h.last()}
	}
}

func (h *history) reset() {
	fresh := state{sequence: uint64(h.random.IntN(50)), digest: h.random.Uint64()}
	allowed := h.allowed
	h.recoveryBases = 1
	h.allowed = slices.Clone(allowed)
	h.allow(fresh)
	snapshot := segment.Snapshot{Sequence: fresh.sequence, Data: binary.LittleEndian.AppendUint64(nil, fresh.digest)}
	err := h.log.Reset(snapshot)
	for errors.Is(err, segment.ErrUnfinishedReset) && !errors.Is(err, simnet.ErrProcessEnded) {
		if syncErr := h.log.Sync(); !errors.Is(syncErr, segment.ErrUnfinishedReset) {
			h.fatal("sync amid a reset: got %v, want segment.ErrUnfinishedReset", syncErr)
		}
		h.mend()
		err = h.log.Reset(snapshot)
	}
	switch {
	case h.handle(err):
		h.states = []state{fresh}
		h.allowed = []state{fresh}
		h.snapshotAt = fresh.sequence
	case !errors.Is(err, simnet.ErrProcessEnded):
		h.allowed = allowed
	}
}

// stop kills the process, cuts the power or closes the log, and opens the log again. In one of four cases it only schedules a
// loss of power that hits one of the next operations.
func (h *history) stop() {
	switch h.random.IntN(4) {
	case 0:
		h.disk.LosePowerAfter(h.random.IntN(8))
		return
	case 1:
		h.disk.Kill()
	case 2:
		h.disk.LosePower()
	case 3:
		if err := h.log.Close(); err == nil {
			h.allowed = []state{h.last()}
		}
		h.disk.LosePower()
	}
	h.open()
}

// mend makes the disk work again.
func (h *history) mend() {
	h.disk.SetCapacity(0)
	h.disk.FailOneIn(0)
}

// injectFault makes a sync fail, leaves little free space on the disk, or makes operations fail at random until mend is called.
func (h *history) injectFault() {
	switch h.random.IntN(3) {
	case 0:
		h.disk.FailSyncs(1)
	case 1:
		h.disk.SetCapacity(h.disk.Used() + h.random.IntN(maxHeadroomBytes))
	case 2:
		h.disk.FailOneIn(1 + h.random.IntN(maxFailingOneIn))
	}
}

// damageNewestSnapshot flips a bit of the newest snapshot and opens the log again, provided that the log can be recovered from
// an older state.
func (h *history) damageNewestSnapshot() {
	if h.recoveryBases < 2 {
		return
	}
	h.disk.Kill()
	snapshots := h.files(".snapshot")
	h.disk.FlipBit(logDirectory + "/" + snapshots[len(snapshots)-1])
	h.recoveryBases--
	h.damaged = true
	h.open()
}
