package chain

// StateMachine is the state that a chain replicates. Its methods are called from one goroutine, Apply only for
// committed entries and in order.
type StateMachine interface {
	// Apply executes a command and returns its result, which must depend on nothing but the state and the command.
	Apply(sequence uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the state with one that Snapshot returned.
	Restore(snapshot []byte) error
}
