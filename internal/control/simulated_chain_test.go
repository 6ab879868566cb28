package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"nickelline/internal/fault"
)

// simulatedChain is the control chain as its state machine sees it: one sequence of commands, which nodes apply with a lag.
// Package chain has its own histories.
type simulatedChain struct {
	random  *rand.Rand
	entries [][]byte
	late    [][]byte // commands of calls that ended without an answer, which may still be appended
	nodes   []*simulatedNode
}

// simulatedNode is a replica of the control state with the service that answers operators.
type simulatedNode struct {
	chain         *simulatedChain
	machine       *Machine
	service       *service
	applied       int
	snapshot      []byte
	snapshotIndex int // entries that the snapshot contains
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

// applyUpTo applies entries and returns the result of the last one.
func (n *simulatedNode) applyUpTo(count int) []byte {
	var result []byte
	for n.applied < count {
		result = n.machine.Apply(uint64(n.applied+1), n.chain.entries[n.applied])
		n.applied++
	}
	return result
}

// Propose implements chainReplica: a command may be refused, appended with or without an answer, or appended later or never.
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

// disturb makes one of the events happen that happen independently of calls.
func (l *simulatedChain) disturb(t *testing.T) {
	t.Helper()
	node := l.nodes[l.random.IntN(len(l.nodes))]
	switch l.random.IntN(6) {
	case 0:
		node.applyUpTo(node.applied + l.random.IntN(len(l.entries)-node.applied+1))
	case 1:
		node.snapshot, node.snapshotIndex = node.machine.Snapshot(), node.applied
	case 2:
		node.restart(t)
	case 3:
		l.appendLate()
	}
}

// restart restores a node from its snapshot. It applies the entries after that again later.
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

func (l *simulatedChain) appendLate() {
	if len(l.late) > 0 {
		i := l.random.IntN(len(l.late))
		l.entries = append(l.entries, l.late[i])
		l.late = append(l.late[:i], l.late[i+1:]...)
	}
}
