package control

import (
	"slices"
	"sync"
	"time"

	"nickelline/internal/configuration"
)

// State is the control state after some command. It is immutable.
type State struct {
	// Document is the operator's configuration as written, Configuration the same compiled. Both are nil before the first one.
	Document      *configuration.Document
	Configuration *configuration.Snapshot
	// Retirements are in the order in which they were requested.
	Retirements []Retirement
	// RetirementRevision counts the changes of the retirements.
	RetirementRevision uint64
	// Placement is the encoded placement.Table of the batch partitions, and PlacementVersion counts its changes.
	Placement        []byte
	PlacementVersion uint64
	// Leaseholders are the proxies that may hold quota leases.
	Leaseholders LeaseholderSet

	encodeDocument func() []byte // encodes Document on the first call only; nil if Document is nil
}

// Retirement is a request to empty a store, and whether that is completed.
type Retirement struct {
	Store     Store
	Duration  time.Duration
	Completed bool
}

// LeaseholderSet is the set of proxies that may hold quota leases.
type LeaseholderSet struct {
	// Epoch is the epoch of the allocator that made the latest change, and Revision counts the changes.
	Epoch, Revision uint64
	// Members are sorted by address, with one member for each address.
	Members []Leaseholder
	// Former are the ended processes that were replaced by others at their addresses, the oldest first: the last
	// maxFormerPerAddress of each address. They distinguish late messages of ended processes from those of new ones.
	Former []Leaseholder
	// Reserves are the tenants whose quota reserves are kept for the next allocator, sorted.
	Reserves []string
}

// Version returns the version of the configuration, 0 before the first.
func (s *State) Version() uint64 {
	if s.Document == nil {
		return 0
	}
	return s.Document.Version()
}

// EncodedDocument returns the configuration as JSON, nil before the first. Callers must not change it.
func (s *State) EncodedDocument() []byte {
	if s.Document == nil {
		return nil
	}
	return s.encodeDocument()
}

// Retirement returns the latest retirement of the store with a name, and whether there is one.
func (s *State) Retirement(name string) (Retirement, bool) {
	i := s.retirementIndex(name)
	if i < 0 {
		return Retirement{}, false
	}
	return s.Retirements[i], true
}

func (s *State) retirementIndex(name string) int {
	return slices.IndexFunc(s.Retirements, func(r Retirement) bool { return r.Store.Name == name })
}

// Retired reports whether a store must not be given data. While a retirement is in progress, this applies to every replica on
// the machine; after it is completed, only to the replica that was retired.
func (s *State) Retired(store Store) bool {
	return slices.ContainsFunc(s.Retirements, func(r Retirement) bool {
		if r.Completed {
			return r.Store == store
		}
		return r.Store.Name == store.Name
	})
}

// withDocument returns a state with another configuration.
func (s *State) withDocument(document *configuration.Document, snapshot *configuration.Snapshot) *State {
	next := *s
	next.Document = document
	next.Configuration = snapshot
	next.encodeDocument = sync.OnceValue(document.Encode)
	return &next
}

// withRetirement returns a state with a retirement in place of an earlier one of the same name, or added.
func (s *State) withRetirement(r Retirement) *State {
	next := *s
	next.Retirements = slices.Clone(s.Retirements)
	next.RetirementRevision++
	if i := s.retirementIndex(r.Store.Name); i >= 0 {
		next.Retirements[i] = r
		return &next
	}
	next.Retirements = append(next.Retirements, r)
	return &next
}

// withPlacement returns a state with the next placement table.
func (s *State) withPlacement(table []byte) *State {
	next := *s
	next.Placement = slices.Clone(table)
	next.PlacementVersion++
	return &next
}

// withLeaseholders returns a state with another set of leaseholders.
func (s *State) withLeaseholders(leaseholders LeaseholderSet) *State {
	next := *s
	next.Leaseholders = leaseholders
	return &next
}
