package control

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"nickelline/internal/segment"
)

// waitForViewOf returns once the view at a node names so many members.
func (s *controlSystem) waitForViewOf(node, members int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testCalls)
	defer cancel()
	p := s.nodes[node]
	for len(p.control.node.View().Members) != members {
		select {
		case <-ctx.Done():
			s.t.Fatalf("the view names %d nodes", len(p.control.node.View().Members))
		case <-p.viewed:
		}
	}
}

// waitForChain returns once a node tells so of the chain.
func (s *controlSystem) waitForChain(node, replicas, voters, lossesBorne int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testCalls)
	defer cancel()
	p := s.nodes[node]
	for {
		told := p.control.Status().Chain
		if len(told.Replicas) == replicas && len(told.Voters) == voters && told.LossesBorne == lossesBorne {
			return
		}
		select {
		case <-ctx.Done():
			s.t.Fatalf("node %d tells of the chain %+v", node, told)
		case <-p.met:
		case <-p.viewed:
		}
	}
}

// wipe empties the disk of a node that does not run.
func (s *controlSystem) wipe(node int) {
	s.t.Helper()
	if err := os.RemoveAll(s.directories[node]); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Mkdir(s.directories[node], 0o755); err != nil {
		s.t.Fatal(err)
	}
}

// One replica is away while the others take a change. Then one of these loses its disk while the other one is down. What was
// acknowledged is on one disk then, and the one that was away still has its vote.
func TestDiskIsLostWhileAReplicaIsAway(t *testing.T) {
	for away := range testControls {
		s := newControlSystem(t)
		s.startAll(true)
		first, second := (away+1)%testControls, (away+2)%testControls
		s.put(first, 0, 3)
		s.waitForAll(first)
		s.waitForChain(first, testControls, testControls, 1)
		s.kill(away)
		s.waitForViewOf(first, testControls-1)
		s.put(first, 3, 4)
		s.waitForChain(first, testControls-1, testControls, 0)

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

// A replica whose state in the agreement is damaged makes itself a new one.
func TestDamagedAcceptorIsALostReplica(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	s.waitForAll(0)
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
		t.Fatalf("started: %v", err)
	}
	s.start(2, false)
	s.expectVersion(2, 3)
}
