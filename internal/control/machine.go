package control

import (
	"fmt"
	"sync"
	"sync/atomic"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// Machine is the replicated control state (a chain.Machine). Apply, Snapshot and Restore are called from one goroutine;
// the other methods may be called at any time.
type Machine struct {
	state atomic.Pointer[State]

	mutex sync.RWMutex
	// taken are the orders that were accepted.
	accepted *digestHistory
	// refused are orders that were refused because they build on a version that did not exist yet. A late copy of one
	// stays refused also when that version has come.
	refused *digestHistory
}

// NewMachine makes the state before the first command.
func NewMachine() *Machine {
	m := &Machine{accepted: newDigestHistory(maximumAcceptedDigests), refused: newDigestHistory(maximumRefusedDigests)}
	m.state.Store(&State{})
	return m
}

// State gives the state after the last command that was applied.
func (m *Machine) State() *State { return m.state.Load() }

// Taken tells whether an order has been accepted.
func (m *Machine) HasAccepted(d Digest) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.accepted.has(d)
}

// Apply executes an encoded Command and gives an encoded Result.
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

// configure takes an order at most once. What is checked first decides the answer: an order that was taken is
// acknowledged again whatever came after it.
func (m *Machine) configure(request *Configure) Result {
	state := m.State()
	version := state.Version()
	digest := request.Digest()
	if m.accepted.has(digest) {
		return Result{Outcome: Repeated, Version: version}
	}
	if m.refused.has(digest) || request.Match != version {
		m.recordRefused(request, digest, version)
		return Result{Outcome: VersionMismatch, Version: version, Text: fmt.Sprintf("version %d is current, not %d", version, request.Match)}
	}
	document, snapshot, err := mergedDocument(state.Document, request)
	if err != nil {
		return Result{Outcome: Invalid, Version: version, Text: err.Error()}
	}
	m.recordAccepted(digest)
	m.state.Store(state.withDocument(document, snapshot))
	return Result{Outcome: Accepted, Version: document.Version()}
}

func (m *Machine) recordAccepted(d Digest) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accepted.add(d)
}

// refuse remembers an order that builds on a version that may still come. One that builds on an older version is
// refused for ever, as versions only rise.
func (m *Machine) recordRefused(request *Configure, d Digest, version uint64) {
	if request.Match > version {
		m.refused.add(d)
	}
}

// merge makes the document that an order asks for, checked against the current one.
func mergedDocument(current *configuration.Document, request *Configure) (*configuration.Document, *configuration.Snapshot, error) {
	document, err := requestedDocument(current, request)
	if err != nil {
		return nil, nil, err
	}
	if document.Version() <= request.Match {
		return nil, nil, fault.New(fault.InvalidConfiguration, "version %d is not above %d", document.Version(), request.Match)
	}
	snapshot, err := configuration.Compile(document)
	if err != nil {
		return nil, nil, err
	}
	return document, snapshot, nil
}

func requestedDocument(current *configuration.Document, request *Configure) (*configuration.Document, error) {
	if !request.Patch {
		return configuration.Parse(request.Body)
	}
	if current == nil {
		return nil, fault.New(fault.InvalidConfiguration, "there is no configuration to patch")
	}
	return current.Patch(request.Body)
}

// retire records an order that a store be emptied, if enough others remain.
func (m *Machine) retire(request *Retire) Result {
	state := m.State()
	if present, found := state.Retirement(request.Store.Name); found && isSameRetirement(present, request.Store) {
		return Result{Outcome: Repeated}
	}
	if remaining := remainingStores(state, request); remaining < request.Minimum {
		return Result{Outcome: Refused, Text: fmt.Sprintf("%d stores would remain, %d are needed", remaining, request.Minimum)}
	}
	m.state.Store(state.withRetirement(Retirement{Store: request.Store, Duration: request.Duration}))
	return Result{Outcome: Accepted}
}

// covers tells whether a retirement is the one asked for: a completed one is not if the machine holds another replica.
func isSameRetirement(present Retirement, store Store) bool {
	return !present.Completed || store.Replica == 0 || present.Store.Replica == store.Replica
}

func remainingStores(state *State, request *Retire) int {
	remaining := 0
	for _, store := range request.Stores {
		if store.Name != request.Store.Name && !state.Retired(store) {
			remaining++
		}
	}
	return remaining
}

// complete records that a store has been emptied.
func (m *Machine) completeRetirement(request *CompleteRetirement) Result {
	state := m.State()
	present, found := state.Retirement(request.Store.Name)
	switch {
	case !found || present.Store != request.Store:
		return Result{Outcome: Refused, Text: fmt.Sprintf("%s is not being retired", request.Store.Name)}
	case present.Completed:
		return Result{Outcome: Repeated}
	case state.PlacementVersion != request.ExpectedVersion:
		return placementMismatch(state, request.ExpectedVersion)
	}
	present.Completed = true
	if request.CurrentReplica != 0 {
		present.Store.Replica = request.CurrentReplica
	}
	m.state.Store(state.withRetirement(present))
	return Result{Outcome: Accepted}
}

// place replaces the placement table by compare-and-swap.
func (m *Machine) replacePlacement(request *ReplacePlacement) Result {
	state := m.State()
	if state.PlacementVersion != request.ExpectedVersion {
		return placementMismatch(state, request.ExpectedVersion)
	}
	if state.RetirementRevision != request.ExpectedRevision {
		return Result{Outcome: VersionMismatch, Version: state.PlacementVersion, Text: "the retirements have changed"}
	}
	next := state.withPlacement(request.Table)
	m.state.Store(next)
	return Result{Outcome: Accepted, Version: next.PlacementVersion}
}

func placementMismatch(state *State, expected uint64) Result {
	text := fmt.Sprintf("version %d of the placement is current, not %d", state.PlacementVersion, expected)
	return Result{Outcome: VersionMismatch, Version: state.PlacementVersion, Text: text}
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() []byte {
	return encodeState(m.State(), m.accepted.queue, m.refused.queue)
}

// Restore replaces the state by one that Snapshot gave. It changes nothing if that cannot be read.
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
