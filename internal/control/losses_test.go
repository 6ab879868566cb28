package control

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"nickelline/internal/segment"
)

// waitForViewOf returns once the view at a node has a number of members.
func (s *controlSystem) waitForViewOf(node, members int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	p := s.nodes[node]
	for len(p.control.node.View().Members) != members {
		select {
		case <-ctx.Done():
			s.t.Fatalf("got a view of %d nodes, want %d", len(p.control.node.View().Members), members)
		case <-p.viewChanged:
		}
	}
}

// waitForChain returns once the status of a node shows the given numbers for the chain.
func (s *controlSystem) waitForChain(node, replicas, voters, toleratedLosses int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	p := s.nodes[node]
	for {
		status := p.control.Status().Chain
		if len(status.Replicas) == replicas && len(status.Voters) == voters && status.ToleratedLosses == toleratedLosses {
			return
		}
		select {
		case <-ctx.Done():
			s.t.Fatalf("node %d: got chain status %+v, want %d replicas, %d voters, %d tolerated losses", node, status, replicas, voters, toleratedLosses)
		case <-p.membersChanged:
		case <-p.viewChanged:
		}
	}
}

// wipe deletes the data of a node that is not running.
func (s *controlSystem) wipe(node int) {
	s.t.Helper()
	if err := os.RemoveAll(s.directories[node]); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Mkdir(s.directories[node], 0o755); err != nil {
		s.t.Fatal(err)
	}
}

// One replica is down while the other two accept a change. Then all are down, and one of the two loses its disk. The
// acknowledged change is then on one disk only, and the replica that missed the change still has a vote.
func TestDiskIsLostWhileAReplicaIsDown(t *testing.T) {
	for away := range testNodeCount {
		s := newControlSystem(t)
		s.startAll(true)
		first, second := (away+1)%testNodeCount, (away+2)%testNodeCount
		s.put(first, 0, 3)
		s.waitForFullView(first)
		s.waitForChain(first, testNodeCount, testNodeCount, 1)
		s.kill(away)
		s.waitForViewOf(first, testNodeCount-1)
		s.put(first, 3, 4)
		s.waitForChain(first, testNodeCount-1, testNodeCount, 0)

		s.kill(first)
		s.kill(second)
		s.wipe(second)
		s.start(away, false)
		s.start(second, false)
		s.start(first, false)
		for node := range s.nodes {
			s.expectVersion(node, 4)
		}
		s.put(away, 4, 5)
		s.stopAll()
	}
}

// A replica whose acceptor state is damaged is discarded, and the next start creates a new replica.
func TestDamagedAcceptorIsALostReplica(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	s.waitForFullView(0)
	s.kill(2)
	name := filepath.Join(s.directories[2], chainDirectory, "acceptor")
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)-1] ^= 0xff
	if err := os.WriteFile(name, data, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := s.open(2, false); !errors.Is(err, segment.ErrDamaged) {
		t.Fatalf("open: got %v, want %v", err, segment.ErrDamaged)
	}
	s.start(2, false)
	s.expectVersion(2, 3)
}
