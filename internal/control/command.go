package control

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"nickelline/internal/fault"
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
	Patch bool
	Match uint64
	Body  []byte
}

// Store names a store and its replica on disk.
type Store struct {
	Name    string
	Replica uint64
}

// Retire asks that a store be emptied. Stores are those that may hold data, as far as the proposer knows: Minimum of
// them that are not being retired must remain.
type Retire struct {
	Store    Store
	Duration time.Duration
	Stores   []Store
	Minimum  int
}

// Complete records that a store that is being retired holds nothing any more, which was seen at a version of the
// placement. CurrentReplica is the replica that its machine holds by now, 0 if it is gone.
type CompleteRetirement struct {
	Store           Store
	CurrentReplica  uint64
	ExpectedVersion uint64
}

// Place replaces the placement table, if neither it nor the retirements have changed since it was computed.
type ReplacePlacement struct {
	ExpectedVersion  uint64
	ExpectedRevision uint64
	Table            []byte
}

// Outcome tells what became of a command.
type Outcome uint8

// The outcomes of commands.
const (
	// Malformed commands cannot be read.
	Malformed Outcome = iota
	// Accepted commands have changed the state.
	Accepted
	// Repeated commands had been accepted before.
	Repeated
	// Invalid commands break a rule of the operator's document.
	Invalid
	// VersionMismatch tells that a command builds on a state that is not the current one.
	VersionMismatch
	// Refused commands cannot be done in the present state.
	Refused
)

var outcomeFaults = map[Outcome]fault.Kind{
	Malformed:       fault.Internal,
	Invalid:         fault.InvalidConfiguration,
	VersionMismatch: fault.VersionConflict,
	Refused:         fault.Conflict,
}

// Result is what applying a command gives.
type Result struct {
	Outcome Outcome
	// Version is the version of the configuration, or of the placement, after the command.
	Version uint64
	// Text tells why the command changed nothing.
	Text string
}

// Err gives the error for a command that was not accepted, nil for one that was.
func (r Result) Err() error {
	kind, failed := outcomeFaults[r.Outcome]
	if !failed {
		return nil
	}
	return fault.New(kind, "%s", r.Text)
}

// Digest identifies an order of the operator.
type Digest struct{ High, Low uint64 }

// Digest gives the digest of an order: the same for the same bytes sent on the same terms.
func (c *Configure) Digest() Digest {
	hash := sha256.New()
	header := [9]byte{}
	if c.Patch {
		header[0] = 1
	}
	binary.LittleEndian.PutUint64(header[1:], c.Match)
	hash.Write(header[:])
	hash.Write(c.Body)
	sum := hash.Sum(nil)
	return Digest{High: binary.LittleEndian.Uint64(sum), Low: binary.LittleEndian.Uint64(sum[8:])}
}
