package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"nickelline/internal/fault"
)

// simulatedChain is a model of the control chain as its state machine sees it: one sequence of commands, which nodes apply with
// a lag. The tests of package chain cover the replication itself.
type simulatedChain struct {
	random  *rand.Rand
	entries [][]byte
	late    [][]byte // commands of calls that ended without a response, which may still be appended
	nodes   []*simulatedNode
}

// simulatedNode is a replica of the control state, with the service for operators.
type simulatedNode struct {
	chain         *simulatedChain
	machine       *Machine
	service       *service
	applied       int
	snapshot      []byte
	snapshotIndex int // number of entries that the snapshot contains
}

func newSimulatedChain(random *rand.Rand) *simulatedChain {
	chain := &simulatedChain{random: random}
	for range historyNodes {
		node := &simulatedNode{chain: chain}
		node.open(NewMachine())
		chain.nodes = append(chain.nodes, node)
	}
	return chain
}

func (n *simulatedNode) open(machine *Machine) {
	n.machine = machine
	n.service = newService(n, machine, nil, 0)
	n.service.callTimeout, n.service.retryInterval = time.Nanosecond, 0
}

// applyUpTo applies entries until count entries are applied, and returns the result of the last one.
func (n *simulatedNode) applyUpTo(count int) []byte {
	var result []byte
	for n.applied < count {
		result = n.machine.Apply(uint64(n.applied+1), n.chain.entries[n.applied])
		n.applied++
	}
	return result
}

// Propose implements chainReplica. At random, a command is refused, appended with or without a response, or appended later or
// never without a response.
func (n *simulatedNode) Propose(_ context.Context, command []byte) ([]byte, error) {
	switch n.chain.random.IntN(8) {
	case 0:
		return nil, fault.New(fault.NotReady, "no head")
	case 1:
		n.chain.late = append(n.chain.late, command)
		return nil, fault.New(fault.Unclear, "no longer the head")
	case 2:
		n.chain.entries = append(n.chain.entries, command)
		return nil, fault.New(fault.Unclear, "the answer is lost")
	}
	n.chain.entries = append(n.chain.entries, command)
	return n.applyUpTo(len(n.chain.entries)), nil
}

// Barrier implements chainReplica.
func (n *simulatedNode) Barrier(context.Context) error {
	if n.chain.random.IntN(4) == 0 {
		return fault.New(fault.NotReady, "partitioned")
	}
	n.applyUpTo(len(n.chain.entries))
	return nil
}

// randomEvent triggers at most one event that is independent of calls: a node applies entries, takes a snapshot or restarts, or
// a late command is appended.
func (c *simulatedChain) randomEvent(t *testing.T) {
	t.Helper()
	node := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(6) {
	case 0:
		node.applyUpTo(node.applied + c.random.IntN(len(c.entries)-node.applied+1))
	case 1:
		node.snapshot, node.snapshotIndex = node.machine.Snapshot(), node.applied
	case 2:
		node.restart(t)
	case 3:
		c.appendLate()
	}
}

// restart restores a node from its snapshot. The node applies the entries after the snapshot again later.
func (n *simulatedNode) restart(t *testing.T) {
	t.Helper()
	machine := NewMachine()
	if n.snapshot != nil {
		if err := machine.Restore(n.snapshot); err != nil {
			t.Fatal(err)
		}
	}
	n.applied = n.snapshotIndex
	n.open(machine)
}

func (c *simulatedChain) appendLate() {
	if len(c.late) > 0 {
		i := c.random.IntN(len(c.late))
		c.entries = append(c.entries, c.late[i])
		c.late = append(c.late[:i], c.late[i+1:]...)
	}
}
