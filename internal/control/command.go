package control

import (
	"net/netip"
	"time"
)

// Command is one change of the control state. Exactly one of its fields is set.
type Command struct {
	Configure          *Configure
	Retire             *Retire
	CompleteRetirement *CompleteRetirement
	ReplacePlacement   *ReplacePlacement
	ChangeLeaseholders *ChangeLeaseholders
}

// Configure replaces the configuration, or patches it, if Match is the current version.
type Configure struct {
	// Patch is set if Body is a patch, and not a whole document.
	Patch bool
	// Match is the version that the change builds on, 0 for the first configuration.
	Match uint64
	Body  []byte
}

// Store names a store and its replica on disk.
type Store struct {
	Name    string
	Replica uint64
}

// Retire asks that a store be emptied.
type Retire struct {
	Store Store
	// Duration is how long the operator allows for it.
	Duration time.Duration
	// Stores are those that can hold data, as far as the proposer knows. At least Minimum of them that are not being retired
	// must remain.
	Stores  []Store
	Minimum int
}

// CompleteRetirement records that a store that is being retired holds no data any more.
type CompleteRetirement struct {
	Store Store
	// CurrentReplica is the replica that the store's machine holds by now, 0 if there is none.
	CurrentReplica uint64
	// ExpectedVersion is the version of the placement at which the store was seen to be empty.
	ExpectedVersion uint64
}

// ReplacePlacement replaces the placement table by compare-and-swap: if neither it nor the retirements have changed since
// the new table was computed.
type ReplacePlacement struct {
	// ExpectedVersion is the version of the placement that the table builds on.
	ExpectedVersion uint64
	// ExpectedRevision is that of the retirements.
	ExpectedRevision uint64
	// Table is an encoded placement.Table.
	Table []byte
}

// ChangeLeaseholders changes the set of proxies that may hold quota leases, by compare-and-swap on its revision. It is
// proposed by the allocator of an epoch of the control chain. An earlier allocator can change nothing once a later one has
// made a change, even an empty one.
type ChangeLeaseholders struct {
	Epoch            uint64
	ExpectedRevision uint64
	// Add holds the processes that may hold leases from now on, each in place of a former process at its address.
	Add []Leaseholder
	// Remove holds the processes that hold no lease any more.
	Remove []Leaseholder
	// SpendAll records the reserves of all tenants as spent. Then those of Spend are recorded as spent, and those of Keep as
	// kept.
	SpendAll    bool
	Keep, Spend []string
}

// Leaseholder is a proxy process, which may hold quota leases. Generation distinguishes it from others at its address.
type Leaseholder struct {
	Address    netip.AddrPort
	Generation uint64
}
