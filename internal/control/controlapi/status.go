package controlapi

// Status describes the system as one control node knows it.
type Status struct {
	Node          string             `json:"node"`
	Configuration ConfigurationState `json:"configuration"`
	Chain         ChainState         `json:"chain"`
	Placement     PlacementState     `json:"placement"`
	Retirements   []RetirementState  `json:"retirements"`
	Members       []MemberState      `json:"members"`
	// FailingDisks are the disks that do not work at present: that of the node that answers, and of stores if it is the head of
	// the control chain, to which they report.
	FailingDisks []DiskState `json:"failingDisks,omitempty"`
}

// DiskState describes a disk that does not work at present.
type DiskState struct {
	Node string `json:"node"`
	// FailingSeconds is for how long operations have been tried again without success.
	FailingSeconds float64 `json:"failingSeconds"`
	// Failures counts the failed operations since the process was started.
	Failures uint64 `json:"failures"`
	// Error is that of the last failure.
	Error string `json:"error"`
}

// ConfigurationState describes the configuration.
type ConfigurationState struct {
	Version  uint64 `json:"version"`
	Routes   int    `json:"routes"`
	Services int    `json:"services"`
	Tenants  int    `json:"tenants"`
}

// ChainState describes the control chain.
type ChainState struct {
	Epoch uint64 `json:"epoch"`
	Head  bool   `json:"head"`
	// Replicas are the members of the view, the head first. Voters agree on the next view; a voter need not be a member.
	Replicas []string `json:"replicas"`
	Voters   []string `json:"voters"`
	// ToleratedLosses is how many of the running machines may fail now and lose their disks before the chain depends on a machine
	// that is not running.
	ToleratedLosses int    `json:"lossesBorne"`
	Committed       uint64 `json:"committed"`
	Appended        uint64 `json:"appended"`
}

// PlacementState describes the placement of batch partitions.
type PlacementState struct {
	Version    uint64           `json:"version"`
	Partitions []PartitionState `json:"partitions"`
}

// PartitionState names the stores of a partition, its head first.
type PartitionState struct {
	Partition int      `json:"partition"`
	Epoch     uint64   `json:"epoch"`
	Stores    []string `json:"stores"`
	Learners  []string `json:"learners,omitempty"`
}

// RetirementState describes the retirement of a store.
type RetirementState struct {
	Node  string `json:"node"`
	State string `json:"state"`
}

// MemberState describes a process of the system.
type MemberState struct {
	Node    string `json:"node"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
	Leaving bool   `json:"leaving,omitempty"`
}
