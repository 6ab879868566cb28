package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"nickelline/internal/fault"
)

// Histories of operators who race under one number and send an order again after lost answers, to any node, while nodes are
// killed, lag and come back from snapshots, and copies of orders arrive late. They are checked for linearizability.
const (
	orderHistories = 150
	orderSteps     = 160
	orderOperators = 3
	orderNodes     = 3
	orderTries     = 6
	orderCheckTime = 20 * time.Second
)

// orderLog is the control chain as far as it concerns orders: one sequence of commands, which nodes apply with a lag. Package
// chain has its own histories.
type orderLog struct {
	random  *rand.Rand
	entries [][]byte
	late    [][]byte // commands of calls that ended without an answer, which may be appended yet
	nodes   []*orderNode
}

// orderNode is a replica of the control state with the service that answers operators.
type orderNode struct {
	log      *orderLog
	machine  *Machine
	service  *service
	applied  int
	snapshot []byte
	covered  int // entries that the snapshot holds
}

func newOrderLog(random *rand.Rand) *orderLog {
	log := &orderLog{random: random}
	for range orderNodes {
		node := &orderNode{log: log}
		node.open(NewMachine())
		log.nodes = append(log.nodes, node)
	}
	return log
}

func (n *orderNode) open(machine *Machine) {
	n.machine = machine
	n.service = newService(n, machine, nil, 0)
	n.service.callTimeout, n.service.retryInterval = time.Nanosecond, 0
}

// applyUpTo applies entries and gives the result of the last one.
func (n *orderNode) applyUpTo(count int) []byte {
	var result []byte
	for n.applied < count {
		result = n.machine.Apply(uint64(n.applied+1), n.log.entries[n.applied])
		n.applied++
	}
	return result
}

// Propose implements Replica: a command may be refused, appended with or without an answer, or appended later or never.
func (n *orderNode) Propose(_ context.Context, command []byte) ([]byte, error) {
	switch n.log.random.IntN(8) {
	case 0:
		return nil, fault.New(fault.NotReady, "no head")
	case 1:
		n.log.late = append(n.log.late, command)
		return nil, fault.New(fault.Unclear, "no longer the head")
	case 2:
		n.log.entries = append(n.log.entries, command)
		return nil, fault.New(fault.Unclear, "the answer is lost")
	}
	n.log.entries = append(n.log.entries, command)
	return n.applyUpTo(len(n.log.entries)), nil
}

// Barrier implements Replica.
func (n *orderNode) Barrier(context.Context) error {
	if n.log.random.IntN(4) == 0 {
		return fault.New(fault.NotReady, "cut off")
	}
	n.applyUpTo(len(n.log.entries))
	return nil
}

// disturb has one of the things happen that happen beside calls.
func (l *orderLog) disturb(t *testing.T) {
	t.Helper()
	node := l.nodes[l.random.IntN(len(l.nodes))]
	switch l.random.IntN(6) {
	case 0:
		node.applyUpTo(node.applied + l.random.IntN(len(l.entries)-node.applied+1))
	case 1:
		node.snapshot, node.covered = node.machine.Snapshot(), node.applied
	case 2:
		node.restart(t)
	case 3:
		l.appendLate()
	}
}

// restart starts a node again from its snapshot; it applies the entries after it again as it comes to them.
func (n *orderNode) restart(t *testing.T) {
	t.Helper()
	machine := NewMachine()
	if n.snapshot != nil {
		if err := machine.Restore(n.snapshot); err != nil {
			t.Fatal(err)
		}
	}
	n.applied = n.covered
	n.open(machine)
}

func (l *orderLog) appendLate() {
	if len(l.late) > 0 {
		i := l.random.IntN(len(l.late))
		l.entries = append(l.entries, l.late[i])
		l.late = append(l.late[:i], l.late[i+1:]...)
	}
}

// configurationRead and configurationOrder are what operators do.
type (
	configurationRead  struct{}
	configurationOrder struct {
		match, version uint64
		timeoutMs      int // of the route, which no other order has
	}
	// configurationOutcome is what came of it. A read gives the state.
	configurationOutcome struct {
		taken bool
		state configurationState
	}
	// configurationState is the state of the model: the version, and what tells which order made it.
	configurationState struct {
		version   uint64
		timeoutMs int
	}
)

var configurationModel = porcupine.Model{
	Init: func() any { return configurationState{} },
	Step: func(state, input, output any) (bool, any) {
		current, outcome := state.(configurationState), output.(configurationOutcome)
		order, isOrder := input.(configurationOrder)
		switch {
		case !isOrder:
			return outcome.state == current, current
		case outcome.taken:
			return order.match == current.version, configurationState{version: order.version, timeoutMs: order.timeoutMs}
		}
		return order.match != current.version, current
	},
}

// operatorRun is an operator with the order that it is sending.
type operatorRun struct {
	order *Configure
	input configurationOrder
	began int
	tries int
}

// ordersTrial is one history.
type ordersTrial struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	log        *orderLog
	operators  []*operatorRun
	operations []porcupine.Operation
	unclear    []*operatorRun // given up without an answer
	acked      int
}

func TestOrdersAreLinearizable(t *testing.T) {
	acked := 0
	for seed := range uint64(orderHistories) {
		random := rand.New(rand.NewPCG(seed, 22))
		trial := &ordersTrial{t: t, seed: seed, random: random, log: newOrderLog(random)}
		for range orderOperators {
			trial.operators = append(trial.operators, &operatorRun{})
		}
		for step := 1; step <= orderSteps; step++ {
			trial.log.disturb(t)
			trial.act(step)
		}
		trial.check()
		acked += trial.acked
	}
	if acked < 10*orderHistories {
		t.Errorf("%d orders were acknowledged in %d histories: that tests too little", acked, orderHistories)
	}
}

func (trial *ordersTrial) act(step int) {
	node := trial.log.nodes[trial.random.IntN(orderNodes)]
	if trial.random.IntN(5) == 0 {
		trial.read(node, step)
		return
	}
	operator := trial.operators[trial.random.IntN(len(trial.operators))]
	if operator.order == nil {
		trial.begin(operator, step)
	}
	trial.send(operator, node, step)
}

// begin has an operator make an order on the version that it saw somewhere, which may be old, and sometimes on one to come.
func (trial *ordersTrial) begin(operator *operatorRun, step int) {
	match := trial.log.nodes[trial.random.IntN(orderNodes)].machine.State().Version()
	if trial.random.IntN(10) == 0 {
		match += uint64(1 + trial.random.IntN(2))
	}
	version := match + 1 + uint64(trial.random.IntN(2))
	input := configurationOrder{match: match, version: version, timeoutMs: 100 + step}
	order := &Configure{Match: match, Body: []byte(documentText(version, input.timeoutMs))}
	*operator = operatorRun{order: order, input: input, began: step}
}

// send sends an order once, also one that was sent before. An answer may be lost on its way.
func (trial *ordersTrial) send(operator *operatorRun, node *orderNode, step int) {
	result, err := node.service.Configure(trial.t.Context(), operator.order)
	operator.tries++
	answered := err == nil || fault.KindOf(err) == fault.VersionConflict
	if err != nil && !answered && fault.KindOf(err) != fault.NotReady && fault.KindOf(err) != fault.Unclear {
		trial.t.Fatalf("seed %d: %v", trial.seed, err)
	}
	if answered && trial.random.IntN(4) != 0 {
		trial.finish(operator, step, err == nil)
		if err == nil && result.Version < operator.input.version {
			trial.t.Fatalf("seed %d: order for version %d is acknowledged at version %d", trial.seed, operator.input.version, result.Version)
		}
		return
	}
	if operator.tries == orderTries {
		given := *operator
		trial.unclear = append(trial.unclear, &given)
		operator.order = nil
	}
}

func (trial *ordersTrial) finish(operator *operatorRun, step int, taken bool) {
	if taken {
		trial.acked++
	}
	trial.add(operator.input, configurationOutcome{taken: taken}, operator.began, step)
	operator.order = nil
}

func (trial *ordersTrial) add(input any, output configurationOutcome, began, ended int) {
	trial.operations = append(trial.operations, porcupine.Operation{
		ClientId: len(trial.operations), Input: input, Output: output, Call: int64(2 * began), Return: int64(2*ended + 1),
	})
}

func (trial *ordersTrial) read(node *orderNode, step int) {
	state, err := node.service.Read(trial.t.Context())
	if err != nil {
		return
	}
	trial.add(configurationRead{}, configurationOutcome{state: stateOf(state)}, step, step)
}

// stateOf gives the state of the model for a state.
func stateOf(state *State) configurationState {
	if state.Version() == 0 {
		return configurationState{}
	}
	timeout := state.Configuration.Routes[0].Timeout
	return configurationState{version: state.Version(), timeoutMs: int(timeout / time.Millisecond)}
}

// check appends what is late, as some of it may be, and checks the whole history.
func (trial *ordersTrial) check() {
	for len(trial.log.late) > 0 && trial.random.IntN(3) != 0 {
		trial.log.appendLate()
	}
	node := trial.log.nodes[0]
	node.applyUpTo(len(trial.log.entries))
	last := orderSteps + 1
	trial.add(configurationRead{}, configurationOutcome{state: stateOf(node.machine.State())}, last, last)
	for _, operator := range trial.operators {
		if operator.order != nil {
			trial.unclear = append(trial.unclear, operator)
		}
	}
	for _, given := range trial.unclear {
		if node.machine.HasAccepted(given.order.Digest()) {
			trial.add(given.input, configurationOutcome{taken: true}, given.began, last-1)
		}
	}
	if porcupine.CheckOperationsTimeout(configurationModel, trial.operations, orderCheckTime) != porcupine.Ok {
		for _, operation := range trial.operations {
			trial.t.Logf("%d to %d: %+v gives %+v", operation.Call, operation.Return, operation.Input, operation.Output)
		}
		trial.t.Fatalf("seed %d: the history is not linearizable", trial.seed)
	}
}
