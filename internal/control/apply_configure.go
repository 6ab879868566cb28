package control

import (
	"fmt"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// configure decides whether a change of the configuration is accepted. All replicas decide the same, as they apply the same
// commands in the same order. A change is accepted at most once. A duplicate of an accepted change is acknowledged again, even
// if other changes were accepted after it.
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

func (m *Machine) recordAccepted(digest Digest) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accepted.add(digest)
}

// recordRefused remembers a refused change if it builds on a version above the current one. A change that builds on an earlier
// version stays refused without that, as versions only rise.
func (m *Machine) recordRefused(request *Configure, digest Digest, version uint64) {
	if request.Match > version {
		m.refused.add(digest)
	}
}

// mergedDocument returns the document that a change results in, checked and compiled.
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
