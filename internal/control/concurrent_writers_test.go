package control

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// fakeChain applies commands to two machines in the same sequence, as a chain does. Copies of requests whose senders gave up
// may be applied much later, and one of the machines is replaced at random by one restored from a snapshot.
type fakeChain struct {
	t        *testing.T
	random   *rand.Rand
	first    *Machine
	second   *Machine
	sequence uint64
	late     [][]byte
}

func (f *fakeChain) propose(encoded []byte) Result {
	f.sequence++
	result := f.first.Apply(f.sequence, encoded)
	if other := f.second.Apply(f.sequence, encoded); !bytes.Equal(result, other) {
		f.t.Fatalf("command %d: got different results from two machines", f.sequence)
	}
	if f.random.IntN(10) == 0 {
		f.restart()
	}
	decoded, err := DecodeResult(result)
	if err != nil {
		f.t.Fatal(err)
	}
	return decoded
}

func (f *fakeChain) restart() {
	restored := NewMachine()
	if err := restored.Restore(f.first.Snapshot()); err != nil {
		f.t.Fatal(err)
	}
	f.second = restored
}

// writer is an operator that changes the configuration independently of others.
type writer struct {
	match   uint64
	request *Command
}

// TestConcurrentWriters has two writers send changes of the same versions, repeated and in late copies, and checks after
// each step that one wins and that no answer is ever contradicted.
func TestConcurrentWriters(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 7))
		f := &fakeChain{t: t, random: random, first: NewMachine(), second: NewMachine()}
		checker := newAcceptanceChecker(t, f)
		writers := []*writer{{}, {}}
		for step := range 300 {
			w := writers[random.IntN(len(writers))]
			checker.step(w, step)
		}
		if checker.accepted < 20 {
			t.Errorf("seed %d: got %d accepted changes, want at least 20", seed, checker.accepted)
		}
	}
}

// acceptanceChecker checks the answers to changes.
type acceptanceChecker struct {
	t            *testing.T
	chain        *fakeChain
	acknowledged map[Digest]bool
	refused      map[Digest]bool
	winners      map[uint64]Digest
	version      uint64
	accepted     int
}

func newAcceptanceChecker(t *testing.T, f *fakeChain) *acceptanceChecker {
	return &acceptanceChecker{t: t, chain: f, acknowledged: map[Digest]bool{}, refused: map[Digest]bool{}, winners: map[uint64]Digest{}}
}

// step lets a writer send a new change or repeat its last one, or delivers a late copy of some change.
func (h *acceptanceChecker) step(w *writer, step int) {
	random := h.chain.random
	if len(h.chain.late) > 0 && random.IntN(4) == 0 {
		i := random.IntN(len(h.chain.late))
		h.send(h.chain.late[i])
		return
	}
	if w.request == nil || random.IntN(2) == 0 {
		w.match = h.version
		if random.IntN(8) == 0 {
			w.match += uint64(random.IntN(4))
		}
		w.request = h.randomOrder(w.match, step)
	}
	encoded := mustEncodeCommand(h.t, w.request)
	h.chain.late = append(h.chain.late, encoded)
	h.send(encoded)
}

func (h *acceptanceChecker) randomOrder(match uint64, step int) *Command {
	version := match + 1 + uint64(h.chain.random.IntN(3))
	if match > 0 && h.chain.random.IntN(2) == 0 {
		return patch(match, patchText(version, step+1))
	}
	return put(match, documentText(version, step+1))
}

func (h *acceptanceChecker) send(encoded []byte) {
	command, err := DecodeCommand(encoded)
	if err != nil {
		h.t.Fatal(err)
	}
	digest := command.Configure.Digest()
	result := h.chain.propose(encoded)
	h.check(command.Configure, digest, result)
	if state := h.chain.first.State(); state.Version() != h.version {
		h.t.Fatalf("got version %d, want %d", state.Version(), h.version)
	}
}

func (h *acceptanceChecker) check(request *Configure, digest Digest, result Result) {
	switch result.Outcome {
	case Accepted:
		if h.refused[digest] || h.acknowledged[digest] || request.Match != h.version || result.Version <= h.version {
			h.t.Fatalf("got a change of version %d accepted as %d, while version %d is current", request.Match, result.Version, h.version)
		}
		if _, decided := h.winners[request.Match]; decided {
			h.t.Fatalf("got two accepted changes of version %d", request.Match)
		}
		h.winners[request.Match] = digest
		h.acknowledged[digest] = true
		h.version = result.Version
		h.accepted++
	case Repeated:
		if !h.acknowledged[digest] {
			h.t.Fatal("got Repeated for a change that was never accepted")
		}
	case VersionMismatch, Invalid:
		if h.acknowledged[digest] {
			h.t.Fatal("got a refusal of an accepted change")
		}
		h.refused[digest] = true
	default:
		h.t.Fatalf("got outcome %d: %s", result.Outcome, result.Text)
	}
}
