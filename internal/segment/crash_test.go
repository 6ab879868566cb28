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
	historyCount       = 4000
	historySteps       = 60
	logDirectory       = "data/log"
	maxEntryBytes      = 60
	historySegmentSize = 300
	historyBufferSize  = 120
	maxHeadroomBytes   = 400
	maxFailingOneIn    = 8
)

// state identifies the contents of a log by its last sequence number and a digest of all entries up to that number.
type state struct {
	sequence uint64
	digest   uint64
}

// then returns the state after a further entry.
func (s state) then(e segment.Entry) state {
	hash := fnv.New64a()
	_ = binary.Write(hash, binary.LittleEndian, []uint64{s.digest, e.Epoch, e.Sequence})
	_, _ = hash.Write(e.Data)
	return state{sequence: e.Sequence, digest: hash.Sum64()}
}

// history applies random operations and faults to a log, and tracks the states that the log may have after each of them.
type history struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	disk   *simnet.Disk
	log    *segment.Log

	// states holds the state after each entry that is now in the log, beginning with the state before the first one.
	states []state
	// allowed are the states in which a crash may leave the log: the last synced state and all later ones.
	allowed []state
	// snapshotAt is the sequence number of the newest snapshot.
	snapshotAt uint64
	epoch      uint64
	// reached is the set of all states that the log has had.
	reached map[state]bool
	// recoveryBases is the number of states, at most two, from which the log can be recovered: the newest snapshots, and the
	// empty state as long as no segment was removed.
	recoveryBases int
	// damaged is true once a snapshot has been damaged.
	damaged bool
}

func newHistory(t *testing.T, seed uint64) *history {
	random := rand.New(rand.NewPCG(seed, 7))
	h := &history{
		t:             t,
		seed:          seed,
		random:        random,
		disk:          simnet.NewDisk(random),
		states:        []state{{}},
		allowed:       []state{{}},
		reached:       map[state]bool{{}: true},
		recoveryBases: 1,
	}
	h.open()
	return h
}

func (h *history) fatal(format string, arguments ...any) {
	h.t.Helper()
	h.t.Fatalf("seed %d: "+format, append([]any{h.seed}, arguments...)...)
}

func (h *history) last() state { return h.states[len(h.states)-1] }

// open opens the log and checks the recovered state. It retries after ends of the process and failed syncs.
func (h *history) open() {
	for {
		fileSystem := h.disk.Mount()
		if h.random.IntN(3) == 0 {
			h.disk.LosePowerAfter(h.random.IntN(6))
		}
		log, recovered, err := segment.Open(fileSystem, logDirectory, segment.Options{SegmentSize: historySegmentSize, BufferSize: historyBufferSize})
		if errors.Is(err, simnet.ErrProcessEnded) {
			h.endProcess()
			continue
		}
		if errors.Is(err, simnet.ErrSyncFailed) || errors.Is(err, simnet.ErrFailed) {
			h.mend()
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

// replay returns the states of the recovered log, beginning with the state of its snapshot.
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

// check verifies that the recovered state is an allowed one, and continues from it.
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

// allow adds states in which a crash may leave the log.
func (h *history) allow(states ...state) {
	h.allowed = append(h.allowed, states...)
	for _, s := range states {
		h.reached[s] = true
	}
}

// files returns the names of the log's files that have a suffix.
func (h *history) files(suffix string) []string {
	h.mend()
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
		h.mend()
	case 16:
		h.damageNewestSnapshot()
	}
}

// endProcess ends the process in the middle of an operation: by a kill, or with a loss of power.
func (h *history) endProcess() {
	if h.random.IntN(2) == 0 {
		h.disk.Kill()
		return
	}
	h.disk.LosePower()
}

// handle reports whether an operation succeeded. After the end of the process it opens the log again. Every other failure must be transient.
func (h *history) handle(err error) (succeeded bool) {
	switch {
	case err == nil:
		return true
	case errors.Is(err, simnet.ErrProcessEnded):
		h.endProcess()
		h.open()
	case !segment.IsTransient(err):
		h.fatal("failed operation: got %v, want an error that is transient", err)
	}
	return false
}

// TestCrashHistories runs seeded histories of operations, power losses, kills, full disks and failed syncs. After each crash
// the log must hold all synced entries in order, and no entry that was never appended.
func TestCrashHistories(t *testing.T) {
	for seed := range uint64(historyCount) {
		h := newHistory(t, seed)
		for range historySteps {
			h.step()
		}
	}
}

// TestDamageIsNeverReadAsData flips a bit somewhere in the files of a log. Open must either report the damage or recover a state
// that the log has had, and what it returns together with the damage must be such a state, too.
func TestDamageIsNeverReadAsData(t *testing.T) {
	reported := 0
	for seed := range uint64(historyCount) {
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
		h.mend()
		_, recovered, err := segment.Open(h.disk.Mount(), logDirectory, segment.Options{})
		if err != nil && !errors.Is(err, segment.ErrDamaged) && !errors.Is(err, simnet.ErrSyncFailed) {
			h.fatal("open: %v", err)
		}
		if errors.Is(err, segment.ErrDamaged) {
			reported++
		}
		for _, s := range h.replay(recovered) {
			if !h.reached[s] {
				h.fatal("recovered state: got %v, want one that the log has had", s)
			}
		}
	}
	if reported < historyCount/10 {
		t.Errorf("seeds with reported damage: got %d of %d, want at least %d", reported, historyCount, historyCount/10)
	}
}

// TestRecoveredLogSurvivesALossOfPower kills the process after each number of disk operations of a Reset, opens the log again, and cuts
// the power before anything is appended. It guards against a log that is recovered from names that are not on the disk yet.
func TestRecoveredLogSurvivesALossOfPower(t *testing.T) {
	const maxOperations, seeds = 12, 40
	for operations := range maxOperations {
		for seed := range uint64(seeds) {
			disk := simnet.NewDisk(rand.New(rand.NewPCG(seed, 3)))
			log, _ := reopen(t, disk)
			mustSucceed(t, log.Append(entry(1), entry(2)))
			mustSucceed(t, log.Sync())
			disk.LosePowerAfter(operations)
			_ = log.Reset(segment.Snapshot{Sequence: 40, Data: []byte("state")})
			disk.Kill()
			log, _ = reopen(t, disk)
			want := log.LastSequence()
			disk.LosePower()
			log, _, err := segment.Open(disk.Mount(), logDirectory, segment.Options{})
			if err != nil || log.LastSequence() != want {
				t.Fatalf("killed after %d operations, seed %d: got %v, %v, want the log that ends at %d, as recovered before", operations, seed, log, err, want)
			}
		}
	}
}
