package control

import (
	"slices"
	"sync"
	"time"

	"nickelline/internal/configuration"
)

// State is the control state after some command. It is immutable.
type State struct {
	// Document and Configuration are the operator's configuration, nil before the first.
	Document      *configuration.Document
	Configuration *configuration.Snapshot
	// Retirements stand in the order in which they were asked for.
	Retirements []Retirement
	// RetirementRevision counts the changes of the retirements.
	RetirementRevision uint64
	// Placement is the table of package placement, as encoded, and PlacementVersion counts its changes.
	Placement        []byte
	PlacementVersion uint64
	// Holders are the proxies that may hold quota leases.
	Leaseholders LeaseholderSet

	encoded func() []byte
}

// Retirement is an order that a store be emptied.
type Retirement struct {
	Store     Store
	Duration  time.Duration
	Completed bool
}

// Version is the version of the configuration, 0 before the first.
func (s *State) Version() uint64 {
	if s.Document == nil {
		return 0
	}
	return s.Document.Version()
}

// EncodedDocument gives the configuration as JSON, nil before the first. Callers must not change it.
func (s *State) EncodedDocument() []byte {
	if s.Document == nil {
		return nil
	}
	return s.encoded()
}

// Retirement gives the newest retirement of the store with a name.
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

// Retired tells whether a store must not be given data. While a retirement is in progress that holds for every replica
// on the machine; once it is completed, for the replica that was retired.
func (s *State) Retired(store Store) bool {
	return slices.ContainsFunc(s.Retirements, func(r Retirement) bool {
		if r.Completed {
			return r.Store == store
		}
		return r.Store.Name == store.Name
	})
}

// withDocument gives a state with another configuration.
func (s *State) withDocument(d *configuration.Document, c *configuration.Snapshot) *State {
	next := *s
	next.Document = d
	next.Configuration = c
	next.encoded = sync.OnceValue(d.Encode)
	return &next
}

// withRetirement gives a state with a retirement in place of an earlier one of the same name, or added.
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

// withPlacement gives a state with the next placement table.
func (s *State) withPlacement(table []byte) *State {
	next := *s
	next.Placement = slices.Clone(table)
	next.PlacementVersion++
	return &next
}
