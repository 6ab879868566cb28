package chain

import (
	"testing"

	"nickelline/internal/fault"
	"nickelline/internal/segment"
)

func TestFirstStartAndProposalsAtEachReplica(t *testing.T) {
	c := newCluster(t, 3, 3)
	want := uint64(0)
	for i, m := range c.members {
		want += uint64(i + 1)
		if got := c.propose(m, uint64(i+1)); got != want {
			t.Fatalf("sum: got %d, want %d", got, want)
		}
	}
	for i, m := range c.members {
		if got := c.total(m); got != want {
			t.Fatalf("sum at replica %d: got %d, want %d", i, got, want)
		}
	}
}

func TestManyProposalsAtOnce(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 0)
	const count = 300
	results := make(chan error, count)
	for i := range count {
		m := c.members[i%len(c.members)]
		go func() {
			_, err := m.node.Propose(testContext(t), number(1))
			results <- err
		}()
	}
	for range count {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	if got := c.total(c.members[2]); got != count {
		t.Fatalf("sum: got %d, want %d", got, count)
	}
}

func TestLargeCommands(t *testing.T) {
	c := newCluster(t, 3, 3)
	command := append(number(3), make([]byte, 4<<20)...)
	for _, m := range c.members {
		if _, err := m.node.Propose(testContext(t), command); err != nil {
			t.Fatal(err)
		}
	}
	tooLarge := make([]byte, segment.MaximumEntrySize+1)
	if _, err := c.members[0].node.Propose(testContext(t), tooLarge); fault.KindOf(err) != fault.BodyTooLarge {
		t.Fatalf("error: got %v, want kind BodyTooLarge", err)
	}
	if got := c.total(c.members[1]); got != 9 {
		t.Fatalf("sum: got %d, want 9", got)
	}
}
