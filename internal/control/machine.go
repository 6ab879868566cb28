package control

import (
	"sync"
	"sync/atomic"
)

// Machine is the replicated state machine of the control state (a chain.StateMachine). It is deterministic: what a command does
// depends on the commands before it only. Apply, Snapshot and Restore are called from one goroutine; the other methods may be
// called at any time.
type Machine struct {
	state atomic.Pointer[State]

	// mutex guards changes of accepted, which HasAccepted reads from other goroutines.
	mutex sync.RWMutex
	// accepted are the changes of the configuration that were accepted. A copy of one is acknowledged again.
	accepted *digestHistory
	// refused are changes that were refused because they build on a version that did not exist yet. A late copy of one stays
	// refused even when that version exists. Only the goroutine that calls Apply uses it.
	refused *digestHistory
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	m := &Machine{accepted: newDigestHistory(maximumAcceptedDigests), refused: newDigestHistory(maximumRefusedDigests)}
	m.state.Store(&State{})
	return m
}

// State returns the state after the last command that was applied here. Others may be committed already.
func (m *Machine) State() *State { return m.state.Load() }

// HasAccepted reports whether a change of the configuration has been accepted, as far as it was applied here.
func (m *Machine) HasAccepted(digest Digest) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.accepted.has(digest)
}

// Apply executes an encoded Command and returns an encoded Result.
func (m *Machine) Apply(_ uint64, encoded []byte) []byte {
	return EncodeResult(m.apply(encoded))
}

func (m *Machine) apply(encoded []byte) Result {
	command, err := DecodeCommand(encoded)
	if err != nil {
		return Result{Outcome: Malformed, Text: "the command cannot be read: " + err.Error()}
	}
	switch {
	case command.Configure != nil:
		return m.configure(command.Configure)
	case command.Retire != nil:
		return m.retire(command.Retire)
	case command.CompleteRetirement != nil:
		return m.completeRetirement(command.CompleteRetirement)
	case command.ReplacePlacement != nil:
		return m.replacePlacement(command.ReplacePlacement)
	case command.ChangeLeaseholders != nil:
		return m.changeLeaseholders(command.ChangeLeaseholders)
	}
	return Result{Outcome: Malformed, Text: "the command is empty"}
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() []byte {
	return encodeState(m.State(), m.accepted.queue, m.refused.queue)
}

// Restore replaces the state by one that Snapshot returned. It changes nothing if that cannot be read.
func (m *Machine) Restore(snapshot []byte) error {
	state, accepted, refused, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accepted.restore(accepted)
	m.refused.restore(refused)
	m.state.Store(state)
	return nil
}
