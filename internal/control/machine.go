package control

import (
	"sync"
	"sync/atomic"
)

// Machine is the replicated state machine of the control state (a chain.StateMachine). It is deterministic: the effect of a
// command depends only on the commands before it. Apply, Snapshot and Restore must be called from one goroutine; the other
// methods may be called concurrently.
type Machine struct {
	state atomic.Pointer[State]

	// mutex guards changes of accepted, which HasAccepted reads from other goroutines.
	mutex sync.RWMutex
	// accepted holds the changes of the configuration that were accepted. A duplicate of one is acknowledged again.
	accepted *digestHistory
	// refused holds the changes that were refused because they build on a version that did not exist yet. A late duplicate is
	// refused too, even if that version exists then. Only the goroutine that calls Apply uses refused.
	refused *digestHistory
}

// NewMachine returns a machine with the state before the first command.
func NewMachine() *Machine {
	m := &Machine{accepted: newDigestHistory(maxAcceptedDigests), refused: newDigestHistory(maxRefusedDigests)}
	m.state.Store(&State{})
	return m
}

// State returns the state after the last command that this replica has applied. Later commands may be committed already.
func (m *Machine) State() *State { return m.state.Load() }

// HasAccepted reports whether a change of the configuration was accepted, according to the commands applied here. The digests of
// the oldest accepted changes are forgotten.
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

// Restore replaces the state by a snapshot from Snapshot. If it returns an error, the state is unchanged.
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
