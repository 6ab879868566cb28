package chain

import (
	"encoding/binary"
	"fmt"
	"syscall"
	"testing"
	"time"

	"nickelline/internal/faultdisk"
	"nickelline/internal/view"
)

// refusal is the fault of a disk that takes no writes, as a full one does.
var refusal = &faultdisk.Fault{
	Operations: []faultdisk.Operation{faultdisk.Create, faultdisk.ShortWrite, faultdisk.Rename},
	Errno:      syscall.ENOSPC,
}

// eventually polls a condition until it holds, and fails the test after testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.NewTimer(testTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for !condition() {
		select {
		case <-poll.C:
		case <-deadline.C:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// checkNotFailed checks that no replica of the cluster has ended by itself.
func (c *cluster) checkNotFailed() {
	c.t.Helper()
	for i, m := range c.members {
		if m.up && m.node.stopped() {
			c.t.Errorf("replica %d has ended, want it to go on", i)
		}
	}
}

// TestChainWaitsForAFullDisk guards against a replica that ends because its disk is full, in a chain that cannot do without it.
func TestChainWaitsForAFullDisk(t *testing.T) {
	for name, full := range map[string]int{"head": 0, "tail": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 2)
			c.propose(c.members[0], 1)
			m := c.members[full]
			m.disk.Set(refusal)
			result := make(chan uint64, 1)
			go func() {
				encoded, err := c.members[0].node.Propose(testContext(t), addCommand(2))
				if err != nil {
					t.Error(err)
					encoded = make([]byte, 8)
				}
				result <- binary.LittleEndian.Uint64(encoded)
			}()
			eventually(t, "the disk refuses a second write", func() bool { return m.disk.Hits() >= 2 })
			if !m.node.Impaired() || m.node.DiskStatus().Err == nil {
				t.Error("replica with a full disk: got working, want impaired")
			}
			select {
			case got := <-result:
				t.Errorf("acknowledged with a full disk: got sum %d, want none", got)
			default:
			}
			m.disk.Set(nil)
			if got := <-result; got != 3 {
				t.Errorf("sum once the disk takes writes: got %d, want 3", got)
			}
			c.checkNotFailed()
			eventually(t, "the replica works again", func() bool { return !m.node.Impaired() })
			c.close(m)
			c.reopen(m)
			c.announce()
			if got := c.total(m); got != 3 {
				t.Errorf("sum after a restart: got %d, want 3", got)
			}
		})
	}
}

// TestChainGoesOnWithoutAFullDisk fills the disk of one replica, in a chain that can do without one: of the head, the next one, or the tail.
// Each has a chain of its own, since a replica counts as lost for a while after its disk has taken writes again.
func TestChainGoesOnWithoutAFullDisk(t *testing.T) {
	for full := range 3 {
		t.Run(fmt.Sprint(full), func(t *testing.T) {
			c := newCluster(t, 3, 3)
			want := c.propose(c.members[0], 1)
			v := c.members[0].node.View()
			m := c.memberAt(v, full)
			other := c.memberAt(v, (full+1)%3)
			m.disk.Set(refusal)
			eventually(t, "the chain goes on without the replica", func() bool {
				_, err := other.node.Propose(testContext(t), addCommand(0)) // may be cancelled by the change of the view
				return err == nil
			})
			want++
			if got := c.propose(other, 1); got != want {
				t.Fatalf("sum while a disk is full: got %d, want %d", got, want)
			}
			m.disk.Set(nil)
			c.awaitView(other, ofSize(3))
			if got := c.total(m); got != want {
				t.Fatalf("sum at the replica whose disk was full: got %d, want %d", got, want)
			}
			c.checkNotFailed()
		})
	}
}

// memberAt returns the member at a position of a view, from the head.
func (c *cluster) memberAt(v view.View, position int) *member {
	c.t.Helper()
	for _, m := range c.members {
		if m.self.Replica == v.Members[position].Replica {
			return m
		}
	}
	c.t.Fatalf("no member at position %d of %+v", position, v)
	return nil
}

// TestFullDiskAcrossARestart kills a replica while its disk refuses writes: what was acknowledged is there afterwards.
func TestFullDiskAcrossARestart(t *testing.T) {
	c := newCluster(t, 2, 2)
	want := c.propose(c.members[0], 1)
	for range 5 {
		m := c.members[1]
		m.disk.Set(refusal)
		go func() { _, _ = c.members[0].node.Propose(testContext(t), addCommand(0)) }()
		before := m.disk.Hits()
		eventually(t, "the disk refuses a write", func() bool { return m.disk.Hits() > before })
		c.close(m)
		m.disk.Set(nil)
		c.reopen(m)
		c.announce()
		want += 2
		if got := c.propose(c.members[0], 2); got != want {
			t.Fatalf("sum after a restart: got %d, want %d", got, want)
		}
	}
}

// TestVoterDoesNotAnswerWhatIsNotOnDisk guards against a vote that is lost with a restart: after a refused write the voter must not give
// the answer that it has only in memory.
func TestVoterDoesNotAnswerWhatIsNotOnDisk(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 1)
	m := c.members[2]
	current := m.node.View()
	proposal := view.Accept{Epoch: current.Epoch + 1, Number: view.ProposalNumber{Round: 1_000_000}, View: current}
	proposal.View.Epoch++
	voter := m.reconfigurer.voter
	m.disk.Set(refusal)
	for range 2 {
		if answer, err := voter.prepare(view.Prepare{Epoch: proposal.Epoch, Number: proposal.Number}); err == nil {
			t.Errorf("promise with a full disk: got %+v, want an error", answer)
		}
	}
	for range 2 {
		if answer, err := voter.accept(proposal); err == nil {
			t.Errorf("vote with a full disk: got %+v, want an error", answer)
		}
	}
	m.disk.Set(nil)
	answer, err := voter.accept(proposal)
	if err != nil || !answer.Granted {
		t.Fatalf("vote once the disk takes writes: got %+v, %v, want it granted", answer, err)
	}
	reopened, err := openVoter(m.node, nil)
	if err != nil || reopened.acceptor.State().Accepted == nil {
		t.Errorf("vote on disk: got %+v, %v, want the accepted view", reopened, err)
	}
	c.checkNotFailed()
}
