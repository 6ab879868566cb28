package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"nickelline/internal/fault"
)

// Bounds of the histories. In a history, operators send concurrent changes that build on the same version, and repeat them at any
// node after lost responses. Meanwhile nodes lag, are killed and restart from snapshots, and copies of changes arrive late.
const (
	historyCount     = 150
	historySteps     = 160
	historyOperators = 3
	historyNodes     = 3
	maximumAttempts  = 6
	checkTimeout     = 20 * time.Second
)

// The operations of the history, and the state of the model.
type (
	configurationRead   struct{}
	configurationChange struct {
		match, version uint64
		timeoutMs      int // of the route; unique among the changes
	}
	// configurationOutcome is the result of a change (accepted) or of a read (state).
	configurationOutcome struct {
		accepted bool
		state    configurationState
	}
	// configurationState is the state of the model: the version, and the timeout, which identifies the change that set both.
	configurationState struct {
		version   uint64
		timeoutMs int
	}
)

var configurationModel = porcupine.Model{
	Init: func() any { return configurationState{} },
	Step: func(state, input, output any) (bool, any) {
		current, outcome := state.(configurationState), output.(configurationOutcome)
		change, isChange := input.(configurationChange)
		switch {
		case !isChange:
			return outcome.state == current, current
		case outcome.accepted:
			return change.match == current.version, configurationState{version: change.version, timeoutMs: change.timeoutMs}
		}
		return change.match != current.version, current
	},
}

// simulatedOperator is an operator and the change that it is sending.
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
	unclear      []*simulatedOperator // gave up without a response
	acknowledged int
}

// Every history must be linearizable, and the histories together must contain enough acknowledged changes.
func TestChangesAreLinearizable(t *testing.T) {
	acknowledged := 0
	for seed := range uint64(historyCount) {
		random := rand.New(rand.NewPCG(seed, 22))
		trial := &historyTrial{t: t, seed: seed, random: random, chain: newSimulatedChain(random)}
		for range historyOperators {
			trial.operators = append(trial.operators, &simulatedOperator{})
		}
		for step := 1; step <= historySteps; step++ {
			trial.chain.randomEvent(t)
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
	trial.sendChange(operator, node, step)
}

// newRequest creates a change that builds on the version at a random node, which may be outdated, or sometimes on a later version.
func (trial *historyTrial) newRequest(operator *simulatedOperator, step int) {
	match := trial.chain.nodes[trial.random.IntN(historyNodes)].machine.State().Version()
	if trial.random.IntN(10) == 0 {
		match += uint64(1 + trial.random.IntN(2))
	}
	version := match + 1 + uint64(trial.random.IntN(2))
	input := configurationChange{match: match, version: version, timeoutMs: 100 + step}
	request := &Configure{Match: match, Body: []byte(documentText(version, input.timeoutMs))}
	*operator = simulatedOperator{request: request, input: input, startedAt: step}
}

// sendChange sends the change of an operator once, the first time or again. The response may be lost.
func (trial *historyTrial) sendChange(operator *simulatedOperator, node *simulatedNode, step int) {
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

// stateOf returns the state of the model that corresponds to a control state.
func stateOf(state *State) configurationState {
	if state.Version() == 0 {
		return configurationState{}
	}
	timeout := state.Configuration.Routes[0].Timeout
	return configurationState{version: state.Version(), timeoutMs: int(timeout / time.Millisecond)}
}

// check appends some of the late commands, and checks that the whole history is linearizable.
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
