package chain

import (
	"context"
	"testing"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/view"
)

func TestViewWithoutLostReplicaAndItsReturn(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 5)
	c.awaitView(c.members[0], ofSize(3))
	head, _ := c.members[0].node.View().Head()
	lost, other := c.members[0], c.members[1]
	for _, m := range c.members {
		if m.self.Replica == head.Replica {
			lost = m
		} else {
			other = m
		}
	}
	c.close(lost)
	c.announce()
	c.awaitView(other, ofSize(2))
	if got := c.propose(other, 6); got != 11 {
		t.Fatalf("sum: got %d, want 11", got)
	}
	c.reopen(lost)
	c.announce()
	c.awaitView(lost, func(v view.View) bool { return v.Epoch > 2 && len(v.Members) == 3 && v.Has(lost.self.Replica) })
	if got := c.total(lost); got != 11 {
		t.Fatalf("sum at the replica that returned: got %d, want 11", got)
	}
}

func TestNewReplicaLearnsBySnapshot(t *testing.T) {
	c := newCluster(t, 3, 3)
	command := append(addCommand(1), make([]byte, 700<<10)...)
	for range 8 {
		if _, err := c.members[1].node.Propose(testContext(t), command); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitView(c.members[2], ofSize(3))
	lost := c.members[2]
	c.close(lost)
	lost.directory = t.TempDir()
	lost.reconfigurer = nil
	c.reopen(lost)
	c.announce()
	c.awaitView(lost, func(v view.View) bool { return len(v.Members) == 3 && v.Has(lost.self.Replica) })
	if got := c.total(lost); got != 8 {
		t.Fatalf("sum at the new replica: got %d, want 8", got)
	}
	if got := c.propose(lost, 1); got != 9 {
		t.Fatalf("sum: got %d, want 9", got)
	}
}

func TestAllKilledComeBack(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 7)
	c.awaitView(c.members[0], ofSize(3))
	for _, m := range c.members {
		c.close(m)
	}
	began := time.Now()
	for _, m := range c.members {
		c.reopen(m)
	}
	c.announce()
	if got := c.propose(c.members[1], 1); got != 8 {
		t.Fatalf("sum: got %d, want 8", got)
	}
	t.Logf("writable after %v", time.Since(began))
}

func TestHandOver(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.propose(c.members[0], 7)
	c.awaitView(c.members[0], ofSize(3))
	leaving := c.members[0]
	if err := leaving.reconfigurer.HandOver(testContext(t)); err != nil {
		t.Fatal(err)
	}
	c.awaitView(c.members[1], func(v view.View) bool { return !v.Has(leaving.self.Replica) })
	if got := c.propose(leaving, 1); got != 8 {
		t.Fatalf("sum: got %d, want 8", got)
	}
	c.close(leaving)
	c.announce()
	if got := c.propose(c.members[1], 1); got != 9 {
		t.Fatalf("sum: got %d, want 9", got)
	}
}

func TestProposalWithoutSuccessorIsNotAppended(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 1)
	c.awaitView(c.members[0], ofSize(3))
	v := c.members[0].node.View()
	for _, m := range c.members {
		if m.self.Replica != v.Members[0].Replica {
			c.close(m)
		}
	}
	for _, m := range c.members {
		if !m.up {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if err := m.node.wait(ctx, func() bool { return !m.node.replica.headReady() }); err != nil {
			// Nothing was in flight, so the head has not noticed the loss; a proposal makes it notice.
			short, stop := context.WithTimeout(context.Background(), time.Second)
			_, err := m.node.Propose(short, addCommand(1))
			stop()
			if fault.KindOf(err) != fault.Unclear {
				t.Fatalf("error: got %v, want kind Unclear", err)
			}
		}
		short, stop := context.WithTimeout(context.Background(), time.Second)
		_, err := m.node.Propose(short, addCommand(1))
		stop()
		if fault.KindOf(err) != fault.NotReady {
			t.Fatalf("error: got %v, want kind NotReady", err)
		}
	}
}
