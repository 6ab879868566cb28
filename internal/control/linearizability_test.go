package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"nickelline/internal/fault"
)

// Histories of operators that send concurrent changes of the same version, and repeat them at any node after lost answers,
// while nodes are killed, lag and restart from snapshots, and copies of changes arrive late. They are checked for
// linearizability.
const (
	historyCount     = 150
	historySteps     = 160
	historyOperators = 3
	historyNodes     = 3
	maximumAttempts  = 6
	checkTimeout     = 20 * time.Second
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
	log := &simulatedChain{random: random}
	for range historyNodes {
		node := &simulatedNode{chain: log}
		node.open(NewMachine())
		log.nodes = append(log.nodes, node)
	}
	return log
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

// Propose implements Replica: a command may be refused, appended with or without an answer, or appended later or never.
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

// Barrier implements Replica.
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

// The operations of the history, and the state of the model.
type (
	configurationRead   struct{}
	configurationChange struct {
		match, version uint64
		timeoutMs      int // of the route, which no other change has
	}
	// configurationOutcome is the result of either. A read returns the state.
	configurationOutcome struct {
		accepted bool
		state    configurationState
	}
	// configurationState is the state of the model: the version, and the timeout that identifies the change that made it.
	configurationState struct {
		version   uint64
		timeoutMs int
	}
)

var configurationModel = porcupine.Model{
	Init: func() any { return configurationState{} },
	Step: func(state, input, output any) (bool, any) {
		current, outcome := state.(configurationState), output.(configurationOutcome)
		order, isOrder := input.(configurationChange)
		switch {
		case !isOrder:
			return outcome.state == current, current
		case outcome.accepted:
			return order.match == current.version, configurationState{version: order.version, timeoutMs: order.timeoutMs}
		}
		return order.match != current.version, current
	},
}

// simulatedOperator is an operator with the change that it is sending.
type simulatedOperator struct {
	request   *Configure
	input     configurationChange
	startedAt int
	attempts  int
}

// historyTrial is one history.
type historyTrial struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	chain        *simulatedChain
	operators    []*simulatedOperator
	operations   []porcupine.Operation
	unclear      []*simulatedOperator // gave up without an answer
	acknowledged int
}

func TestChangesAreLinearizable(t *testing.T) {
	acknowledged := 0
	for seed := range uint64(historyCount) {
		random := rand.New(rand.NewPCG(seed, 22))
		trial := &historyTrial{t: t, seed: seed, random: random, chain: newSimulatedChain(random)}
		for range historyOperators {
			trial.operators = append(trial.operators, &simulatedOperator{})
		}
		for step := 1; step <= historySteps; step++ {
			trial.chain.disturb(t)
			trial.act(step)
		}
		trial.check()
		acknowledged += trial.acknowledged
	}
	if acknowledged < 10*historyCount {
		t.Errorf("got %d acknowledged changes in %d histories, want at least %d", acknowledged, historyCount, 10*historyCount)
	}
}

func (trial *historyTrial) act(step int) {
	node := trial.chain.nodes[trial.random.IntN(historyNodes)]
	if trial.random.IntN(5) == 0 {
		trial.read(node, step)
		return
	}
	operator := trial.operators[trial.random.IntN(len(trial.operators))]
	if operator.request == nil {
		trial.newRequest(operator, step)
	}
	trial.send(operator, node, step)
}

// newRequest makes a change of the version at some node, which may be old, and sometimes of a later version.
func (trial *historyTrial) newRequest(operator *simulatedOperator, step int) {
	match := trial.chain.nodes[trial.random.IntN(historyNodes)].machine.State().Version()
	if trial.random.IntN(10) == 0 {
		match += uint64(1 + trial.random.IntN(2))
	}
	version := match + 1 + uint64(trial.random.IntN(2))
	input := configurationChange{match: match, version: version, timeoutMs: 100 + step}
	order := &Configure{Match: match, Body: []byte(documentText(version, input.timeoutMs))}
	*operator = simulatedOperator{request: order, input: input, startedAt: step}
}

// send sends the change of an operator once, or repeats it. The answer may be lost.
func (trial *historyTrial) send(operator *simulatedOperator, node *simulatedNode, step int) {
	result, err := node.service.Configure(trial.t.Context(), operator.request)
	operator.attempts++
	answered := err == nil || fault.KindOf(err) == fault.VersionConflict
	if err != nil && !answered && fault.KindOf(err) != fault.NotReady && fault.KindOf(err) != fault.Unclear {
		trial.t.Fatalf("seed %d: %v", trial.seed, err)
	}
	if answered && trial.random.IntN(4) != 0 {
		trial.complete(operator, step, err == nil)
		if err == nil && result.Version < operator.input.version {
			trial.t.Fatalf("seed %d: got a change to version %d acknowledged at version %d", trial.seed, operator.input.version, result.Version)
		}
		return
	}
	if operator.attempts == maximumAttempts {
		operatorCopy := *operator
		trial.unclear = append(trial.unclear, &operatorCopy)
		operator.request = nil
	}
}

func (trial *historyTrial) complete(operator *simulatedOperator, step int, accepted bool) {
	if accepted {
		trial.acknowledged++
	}
	trial.addOperation(operator.input, configurationOutcome{accepted: accepted}, operator.startedAt, step)
	operator.request = nil
}

func (trial *historyTrial) addOperation(input any, output configurationOutcome, began, ended int) {
	trial.operations = append(trial.operations, porcupine.Operation{
		ClientId: len(trial.operations), Input: input, Output: output, Call: int64(2 * began), Return: int64(2*ended + 1),
	})
}

func (trial *historyTrial) read(node *simulatedNode, step int) {
	state, err := node.service.Read(trial.t.Context())
	if err != nil {
		return
	}
	trial.addOperation(configurationRead{}, configurationOutcome{state: stateOf(state)}, step, step)
}

// stateOf returns the state of the model for a state.
func stateOf(state *State) configurationState {
	if state.Version() == 0 {
		return configurationState{}
	}
	timeout := state.Configuration.Routes[0].Timeout
	return configurationState{version: state.Version(), timeoutMs: int(timeout / time.Millisecond)}
}

// check appends some of the late commands, and checks the whole history.
func (trial *historyTrial) check() {
	for len(trial.chain.late) > 0 && trial.random.IntN(3) != 0 {
		trial.chain.appendLate()
	}
	node := trial.chain.nodes[0]
	node.applyUpTo(len(trial.chain.entries))
	last := historySteps + 1
	trial.addOperation(configurationRead{}, configurationOutcome{state: stateOf(node.machine.State())}, last, last)
	for _, operator := range trial.operators {
		if operator.request != nil {
			trial.unclear = append(trial.unclear, operator)
		}
	}
	for _, operator := range trial.unclear {
		if node.machine.HasAccepted(operator.request.Digest()) {
			trial.addOperation(operator.input, configurationOutcome{accepted: true}, operator.startedAt, last-1)
		}
	}
	if porcupine.CheckOperationsTimeout(configurationModel, trial.operations, checkTimeout) != porcupine.Ok {
		for _, operation := range trial.operations {
			trial.t.Logf("%d to %d: %+v returns %+v", operation.Call, operation.Return, operation.Input, operation.Output)
		}
		trial.t.Fatalf("seed %d: got a history that is not linearizable", trial.seed)
	}
}
