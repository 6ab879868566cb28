package segment_test

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"nickelline/internal/segment"
	"nickelline/internal/simnet"
)

const (
	histories       = 2000
	historySteps    = 60
	logDirectory    = "data/log"
	mostEntryBytes  = 60
	historySegment  = 300
	historyBuffer   = 120
	longestHeadroom = 400
)

// state names a content of the log: the last sequence number and a digest of all entries up to it.
type state struct {
	sequence uint64
	digest   uint64
}

func (s state) then(e segment.Entry) state {
	hash := fnv.New64a()
	_ = binary.Write(hash, binary.LittleEndian, []uint64{s.digest, e.Epoch, e.Sequence})
	_, _ = hash.Write(e.Data)
	return state{sequence: e.Sequence, digest: hash.Sum64()}
}

// history drives a log through random operations and losses, and knows what it may hold after each.
type history struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	disk   *simnet.Disk
	log    *segment.Log

	// states are those after each entry of the log as it is now, from the base on.
	states []state
	// allowed are the states that a loss may leave: the one that was synced and all later ones.
	allowed []state
	// snapshotAt is the sequence number of the newest snapshot.
	snapshotAt uint64
	epoch      uint64
	// ever are all states that the log had.
	ever map[state]bool
	// bases is the number of states, at most two, from which the log can be read: the newest snapshots, and the empty
	// state as long as no segment was dropped.
	bases int
	// damaged is true once a snapshot was damaged.
	damaged bool
}

func newHistory(t *testing.T, seed uint64) *history {
	random := rand.New(rand.NewPCG(seed, 7))
	h := &history{
		t:       t,
		seed:    seed,
		random:  random,
		disk:    simnet.NewDisk(random),
		states:  []state{{}},
		allowed: []state{{}},
		ever:    map[state]bool{{}: true},
		bases:   1,
	}
	h.open()
	return h
}

func (h *history) fatal(format string, arguments ...any) {
	h.t.Helper()
	h.t.Fatalf("seed %d: "+format, append([]any{h.seed}, arguments...)...)
}

func (h *history) last() state { return h.states[len(h.states)-1] }

// open opens the log, through further losses of power, and checks what it holds.
func (h *history) open() {
	for {
		fileSystem := h.disk.Mount()
		if h.random.IntN(3) == 0 {
			h.disk.LosePowerAfter(h.random.IntN(6))
		}
		log, recovered, err := segment.Open(fileSystem, logDirectory, segment.Options{SegmentSize: historySegment, BufferSize: historyBuffer})
		if errors.Is(err, simnet.ErrPowerLost) {
			h.disk.LosePower()
			continue
		}
		if errors.Is(err, simnet.ErrSyncFailed) {
			continue
		}
		if err != nil {
			h.fatal("open: %v", err)
		}
		h.disk.LosePowerAfter(-1)
		h.log = log
		h.check(recovered)
		return
	}
}

// replay returns the states from that of the recovered snapshot on.
func (h *history) replay(recovered segment.Recovered) []state {
	states := []state{{}}
	if s := recovered.Snapshot; s != nil {
		states = []state{{sequence: s.Sequence, digest: binary.LittleEndian.Uint64(s.Data)}}
	}
	for _, entry := range recovered.Entries {
		last := states[len(states)-1]
		if entry.Sequence != last.sequence+1 {
			h.fatal("entry %d follows %d", entry.Sequence, last.sequence)
		}
		states = append(states, last.then(entry))
	}
	return states
}

func (h *history) check(recovered segment.Recovered) {
	h.states = h.replay(recovered)
	h.snapshotAt = h.states[0].sequence
	if !slices.Contains(h.allowed, h.last()) {
		h.fatal("recovered state: got %v, want one of %v", h.last(), h.allowed)
	}
	if recovered.DamagedSnapshots > 0 && !h.damaged {
		h.fatal("damaged snapshots: got %d, want 0", recovered.DamagedSnapshots)
	}
	if last := h.log.LastSequence(); last != h.last().sequence {
		h.fatal("last sequence: got %d, want %d", last, h.last().sequence)
	}
	h.allowed = []state{h.last()}
}

// allow notes states that the log has now and that a loss may leave.
func (h *history) allow(states ...state) {
	h.allowed = append(h.allowed, states...)
	for _, s := range states {
		h.ever[s] = true
	}
}

// files returns the names of the log's files with a suffix.
func (h *history) files(suffix string) []string {
	names, err := h.disk.Mount().List(logDirectory)
	if err != nil {
		h.fatal("list: %v", err)
	}
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, suffix) })
}

func (h *history) step() {
	switch h.random.IntN(17) {
	case 0, 1, 2, 3, 4, 5:
		h.append()
	case 6, 7, 8, 9:
		h.sync()
	case 10:
		h.truncate()
	case 11:
		h.saveSnapshot()
	case 12:
		if h.random.IntN(4) == 0 {
			h.reset()
		}
	case 13:
		h.stop()
	case 14:
		h.injectFault()
	case 15:
		h.disk.SetCapacity(0)
	case 16:
		h.damageNewestSnapshot()
	}
}

// handle looks at the error of an operation: it reports whether it succeeded, and opens the log again if it closed.
func (h *history) handle(err error) (succeeded bool) {
	switch {
	case err == nil:
		return true
	case errors.Is(err, simnet.ErrPowerLost):
		h.disk.LosePower()
		h.open()
	case errors.Is(err, segment.ErrClosed):
		h.open()
	}
	return false
}

// TestCrashHistories checks, over seeded histories of operations, losses of power, kills, full disks and failing syncs,
// that what was synced is there after each loss, that nothing appears that was never appended, and that order is kept.
func TestCrashHistories(t *testing.T) {
	for seed := range uint64(histories) {
		h := newHistory(t, seed)
		for range historySteps {
			h.step()
		}
	}
}

// TestDamageIsNeverReadAsData flips a bit somewhere in the files of a log and checks that the log either reports it or
// opens in a state that it had before, and that what it reports as read is such a state, too.
func TestDamageIsNeverReadAsData(t *testing.T) {
	reported := 0
	for seed := range uint64(histories) {
		h := newHistory(t, seed)
		for range historySteps / 2 {
			h.step()
		}
		h.disk.LosePowerAfter(-1)
		h.disk.Kill()
		names := h.files("")
		if len(names) == 0 {
			continue
		}
		h.disk.FlipBit(logDirectory + "/" + names[h.random.IntN(len(names))])
		_, recovered, err := segment.Open(h.disk.Mount(), logDirectory, segment.Options{})
		if err != nil && !errors.Is(err, segment.ErrDamaged) && !errors.Is(err, simnet.ErrSyncFailed) {
			h.fatal("open: %v", err)
		}
		if errors.Is(err, segment.ErrDamaged) {
			reported++
		}
		for _, s := range h.replay(recovered) {
			if !h.ever[s] {
				h.fatal("recovered state: got %v, want one that the log had", s)
			}
		}
	}
	if reported < histories/10 {
		t.Errorf("seeds with reported damage: got %d of %d, want at least %d", reported, histories, histories/10)
	}
}
