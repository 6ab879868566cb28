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

// Configure replaces or patches the configuration, if Match is the current version.
type Configure struct {
	// Patch is set if Body is a patch, not a whole document.
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

// Retire requests that a store be emptied.
type Retire struct {
	Store Store
	// Duration is how long the operator allows for it.
	Duration time.Duration
	// Stores are the stores that can hold data, as far as the proposer knows. Besides Store, at least Minimum of them that are
	// not retired must remain.
	Stores  []Store
	Minimum int
}

// CompleteRetirement records that a store that is being retired no longer holds data.
type CompleteRetirement struct {
	Store Store
	// CurrentReplica is the replica that the store's machine holds when the command is proposed, 0 if none is known.
	CurrentReplica uint64
	// ExpectedVersion is the version of the placement at which the store was seen to be empty.
	ExpectedVersion uint64
}

// ReplacePlacement replaces the placement table by compare-and-swap: only if neither the table nor the retirements have
// changed since the new table was computed.
type ReplacePlacement struct {
	// ExpectedVersion is the version of the placement that the table builds on.
	ExpectedVersion uint64
	// ExpectedRevision is the revision of the retirements that the table builds on.
	ExpectedRevision uint64
	// Table is an encoded placement.Table.
	Table []byte
}

// ChangeLeaseholders changes the set of proxies that may hold quota leases, by compare-and-swap on its revision. The quota
// allocator of an epoch of the control chain proposes it. The epoch acts as a fencing token: once an allocator has made a
// change, even an empty one, allocators of earlier epochs can change nothing.
type ChangeLeaseholders struct {
	Epoch            uint64
	ExpectedRevision uint64
	// Add lists the processes that may hold leases after the change. Each replaces the process at its address, if there is one.
	Add []Leaseholder
	// Remove lists the processes that no longer hold a lease.
	Remove []Leaseholder
	// SpendAll records the reserves of all tenants as spent. After that, the reserves of the tenants in Spend are recorded as
	// spent, and those of the tenants in Keep as kept.
	SpendAll    bool
	Keep, Spend []string
}

// Leaseholder is a proxy process that may hold quota leases. Generation distinguishes it from other processes at its address.
type Leaseholder struct {
	Address    netip.AddrPort
	Generation uint64
}
