package chain

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the time that porcupine takes to check one history.
const checkTimeout = time.Second

// checkLinearizable checks that the operations of the clients are linearizable.
func (s *simulation) checkLinearizable() {
	last := s.network.Now()
	written := make(map[uint64]bool)
	for _, text := range s.committed {
		written[text.id] = true
	}
	var history []porcupine.Operation
	for i, o := range s.operations {
		switch {
		case o.dropped, !o.done && !written[o.id]: // without effect
			continue
		case !o.done:
			o.end = last + time.Hour
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: o, Output: o, Call: int64(o.begin), Return: int64(o.end)})
	}
	if porcupine.CheckOperationsTimeout(registerModel, history, checkTimeout) == porcupine.Illegal {
		for _, o := range s.operations {
			s.logf("%+v", *o)
		}
		s.fatalf("the history is not linearizable")
	}
	s.checkCommitOrder()
}

// checkCommitOrder checks that the history is linearizable in the order in which commands were committed. Unlike the
// general checker, which may time out, it also gives a result when the outcomes of many operations are unknown.
func (s *simulation) checkCommitOrder() {
	order := s.replay()
	for _, o := range s.operations {
		if o.done && !o.read {
			o.position = s.sequences[o.id]
			if outcome := order.outcomes[o.id]; outcome != (registerOutcome{o.ok, o.version, o.result}) {
				s.fatalf("operation %+v: outcome of the commands in the order of commits: %+v", *o, outcome)
			}
		}
	}
	for _, o := range s.operations {
		if o.done && o.read {
			s.positionRead(o, order)
		}
	}
	for _, first := range s.operations {
		for _, second := range s.operations {
			if first.done && second.done && !second.read && first.end < second.begin && first.position >= second.position {
				s.fatalf("%+v is committed before %+v, which ended first", *second, *first)
			}
		}
	}
}

// positionRead finds the first position in the order of commits at which a read can have taken effect. It is called in
// the order in which operations began, so that all reads that ended before this one began have their positions.
func (s *simulation) positionRead(read *operation, order commitOrder) {
	read.position = order.begins[read.version]
	for _, other := range s.operations {
		if other.done && other.end < read.begin {
			read.position = max(read.position, other.position)
		}
	}
	if next, overwritten := order.begins[read.version+1]; overwritten && read.position >= next {
		s.fatalf("%+v shows an older state than operations that ended before it began", *read)
	}
	if read.result != order.values[read.version] {
		s.fatalf("%+v shows a value that its version never had", *read)
	}
}

// registerOutcome is the result of a write.
type registerOutcome struct {
	ok             bool
	version, value uint64
}

// commitOrder holds the results of the committed commands, executed in order.
type commitOrder struct {
	outcomes map[uint64]registerOutcome // by command
	begins   map[uint64]uint64          // sequence at which a version begins, by version
	values   map[uint64]uint64          // value of a version, by version
}

func (s *simulation) replay() commitOrder {
	order := commitOrder{
		outcomes: make(map[uint64]registerOutcome),
		begins:   map[uint64]uint64{0: 0},
		values:   map[uint64]uint64{0: 0},
	}
	var state register
	for sequence := uint64(1); sequence <= s.highest; sequence++ {
		entry, committed := s.committed[sequence]
		if !committed {
			s.fatalf("entry %d was never applied", sequence)
		}
		before := state.version
		state.Apply(sequence, []byte(entry.data))
		order.outcomes[entry.id] = registerOutcome{state.version != before, state.version, state.value}
		if state.version != before {
			order.begins[state.version] = sequence
			order.values[state.version] = state.value
		}
	}
	return order
}

// registerState is a register that is written by compare-and-set of its version.
type registerState struct{ version, value uint64 }

var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, _ any) (bool, any) {
		register := state.(registerState)
		o := input.(*operation)
		if o.read {
			return o.version == register.version && o.result == register.value, register
		}
		matches := o.expected == register.version
		next := register
		if matches {
			next = registerState{version: register.version + 1, value: o.value}
		}
		if !o.done {
			return true, next
		}
		return o.ok == matches && o.version == next.version && o.result == next.value, next
	},
}

// register is the state machine that the replicas of a history run.
type register struct{ version, value uint64 }

func commandOf(o *operation) []byte {
	command := binary.LittleEndian.AppendUint64(nil, o.id)
	command = binary.LittleEndian.AppendUint64(command, o.expected)
	return binary.LittleEndian.AppendUint64(command, o.value)
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	expected, value := binary.LittleEndian.Uint64(command[8:]), binary.LittleEndian.Uint64(command[16:])
	ok := byte(0)
	if expected == r.version {
		r.version++
		r.value = value
		ok = 1
	}
	result := binary.LittleEndian.AppendUint64([]byte{ok}, r.version)
	return binary.LittleEndian.AppendUint64(result, r.value)
}

const snapshotPadding = 200

func (r *register) Snapshot() []byte {
	data := binary.LittleEndian.AppendUint64(nil, r.version)
	data = binary.LittleEndian.AppendUint64(data, r.value)
	return append(data, make([]byte, snapshotPadding)...)
}

func (r *register) Restore(snapshot []byte) error {
	if len(snapshot) != 16+snapshotPadding {
		return fmt.Errorf("snapshot of %d bytes", len(snapshot))
	}
	r.version, r.value = binary.LittleEndian.Uint64(snapshot), binary.LittleEndian.Uint64(snapshot[8:])
	return nil
}
