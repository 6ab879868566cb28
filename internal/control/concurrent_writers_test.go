package control

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// fakeChain applies commands to two machines in the same order, as a chain does. Duplicates of requests may be applied much
// later, and the second machine is replaced at random by one that is restored from a snapshot of the first.
type fakeChain struct {
	t        *testing.T
	random   *rand.Rand
	first    *Machine
	second   *Machine
	sequence uint64
	late     [][]byte // requests of which duplicates may be delivered late
}

func (f *fakeChain) propose(encoded []byte) Result {
	f.sequence++
	result := f.first.Apply(f.sequence, encoded)
	if other := f.second.Apply(f.sequence, encoded); !bytes.Equal(result, other) {
		f.t.Fatalf("command %d: got different results from the two machines", f.sequence)
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

// writer is an operator that changes the configuration independently of the other writer.
type writer struct {
	match   uint64
	request *Command
}

// Two writers send changes that build on the same versions, repeat them, and have late duplicates delivered. At each step, at most
// one of the changes that build on a version has been accepted, and no result contradicts an earlier one.
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

// acceptanceChecker checks the results of changes.
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

// step has a writer send a new change or repeat its last one, or delivers a late duplicate of some change.
func (c *acceptanceChecker) step(w *writer, step int) {
	random := c.chain.random
	if len(c.chain.late) > 0 && random.IntN(4) == 0 {
		i := random.IntN(len(c.chain.late))
		c.send(c.chain.late[i])
		return
	}
	if w.request == nil || random.IntN(2) == 0 {
		w.match = c.version
		if random.IntN(8) == 0 {
			w.match += uint64(random.IntN(4))
		}
		w.request = c.randomChange(w.match, step)
	}
	encoded := mustEncodeCommand(c.t, w.request)
	c.chain.late = append(c.chain.late, encoded)
	c.send(encoded)
}

func (c *acceptanceChecker) randomChange(match uint64, step int) *Command {
	version := match + 1 + uint64(c.chain.random.IntN(3))
	if match > 0 && c.chain.random.IntN(2) == 0 {
		return patch(match, patchText(version, step+1))
	}
	return put(match, documentText(version, step+1))
}

func (c *acceptanceChecker) send(encoded []byte) {
	command, err := DecodeCommand(encoded)
	if err != nil {
		c.t.Fatal(err)
	}
	digest := command.Configure.Digest()
	result := c.chain.propose(encoded)
	c.check(command.Configure, digest, result)
	if state := c.chain.first.State(); state.Version() != c.version {
		c.t.Fatalf("got version %d, want %d", state.Version(), c.version)
	}
}

func (c *acceptanceChecker) check(request *Configure, digest Digest, result Result) {
	switch result.Outcome {
	case Accepted:
		if c.refused[digest] || c.acknowledged[digest] || request.Match != c.version || result.Version <= c.version {
			c.t.Fatalf("got a change of version %d accepted as %d, while version %d is current", request.Match, result.Version, c.version)
		}
		if _, decided := c.winners[request.Match]; decided {
			c.t.Fatalf("got two accepted changes of version %d", request.Match)
		}
		c.winners[request.Match] = digest
		c.acknowledged[digest] = true
		c.version = result.Version
		c.accepted++
	case Repeated:
		if !c.acknowledged[digest] {
			c.t.Fatal("got Repeated for a change that was never accepted")
		}
	case VersionMismatch, Invalid:
		if c.acknowledged[digest] {
			c.t.Fatalf("got outcome %d for an accepted change, want Repeated", result.Outcome)
		}
		c.refused[digest] = true
	default:
		c.t.Fatalf("got outcome %d (%s), want Accepted, Repeated, VersionMismatch or Invalid", result.Outcome, result.Text)
	}
}
