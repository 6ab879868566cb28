package chain

import (
	"net/netip"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Replica is one replica of a chain as a state machine that does no I/O. The driver reports events by calling its
// methods, with the time since a fixed moment by a monotonic clock; Output returns what the driver has to do in response.
// It is not safe for concurrent use. The package documentation has the protocol and its invariants.
type Replica struct {
	chain           uint32 // number of the chain
	self            view.Member
	minimumReplicas int
	generation      uint64
	limits          limits

	view                   view.View  // in force
	term                   uint64     // epoch of the first view of the term in which this replica is head, 0 if it is not
	installing             *view.View // newer view that is being written to disk, nil if there is none
	completeEpoch          uint64     // latest epoch in which the replica was complete, 0 if it never was
	submittedCompleteEpoch uint64     // epoch of the last record of completeness passed to the disk, 0 if there was none
	lostEpoch              uint64     // Record.LostEpoch

	history   *history
	synced    uint64 // the log is on this replica's disk up to this sequence
	committed uint64 // entries up to this sequence were handed out for applying

	upstream  upstream
	source    netip.AddrPort // member that a learner receives from, invalid if there is none
	successor *link          // nil if there is none, or this replica is not complete
	learners  map[view.ReplicaID]*link
	sessions  uint64 // count of the sessions begun by this process

	head headState

	lastDiskID  uint64             // identifier of the newest disk operation
	pendingDisk []pendingOperation // operations that are not done, in order
	out         Output
}

// Recovered is what a replica found in its directory when it was started.
type Recovered struct {
	Record   Record // zero if there was none
	Snapshot segment.Snapshot
	Entries  []segment.Entry
}

// NewReplica returns the state machine of a replica that has just been started. Its first output asks for a record with
// the next generation to be written; no view is in force before that record is on disk.
func NewReplica(chain uint32, self view.Member, minimumReplicas int, recovered Recovered) *Replica {
	base := Position{Epoch: recovered.Snapshot.Epoch, Sequence: recovered.Snapshot.Sequence}
	r := &Replica{
		chain:           chain,
		self:            self,
		minimumReplicas: minimumReplicas,
		generation:      recovered.Record.Generation + 1,
		limits:          defaultLimits(),
		completeEpoch:   recovered.Record.CompleteEpoch,
		lostEpoch:       recovered.Record.LostEpoch,
		history:         newHistory(base, recovered.Entries),
		committed:       base.Sequence,
		learners:        make(map[view.ReplicaID]*link),
		head:            headState{appended: make(map[uint64]uint64)},
	}
	r.view.Chain = chain
	r.synced = r.history.last().Sequence
	installed := recovered.Record.View
	installed.Chain = chain
	r.installing = &installed
	r.write(DiskOperation{Record: r.record(installed)}, 0)
	return r
}

// Output returns the work that has been asked for since the last call, and clears it. The driver must call it after
// each event.
func (r *Replica) Output() Output {
	out := r.out
	r.out = Output{}
	return out
}

// View returns the view in force. Its epoch is 0 if there is none.
func (r *Replica) View() view.View { return r.view }

// Status returns the replica's progress. The driver sets the field Applied.
func (r *Replica) Status() Status {
	return Status{
		Epoch:        r.view.Epoch,
		LastAppended: r.history.last().Sequence,
		Synced:       r.synced,
		Committed:    r.committed,
		Complete:     r.complete(),
		CaughtUp:     r.caughtUp(),
		Ready:        r.headReady(),
	}
}

// Tick carries out the retries that are due at the given time.
func (r *Replica) Tick(now time.Duration) { r.advance(now) }

// Deadline returns the time at which Tick should be called next, and whether there is one.
func (r *Replica) Deadline() (time.Duration, bool) {
	earliest := r.upstream.attachAt
	for _, l := range r.links() {
		if l.deadline != 0 && (earliest == 0 || l.deadline < earliest) {
			earliest = l.deadline
		}
	}
	return earliest, earliest != 0
}

// advance does all that the last event has made possible: it advances commits, sends what the windows of the links
// permit, retries, acknowledges, and trims the history. The methods that handle events call it last.
func (r *Replica) advance(now time.Duration) {
	r.recordCompleteness()
	r.commitReceived()
	r.advanceHead()
	for _, l := range r.links() {
		r.retry(now, l)
		r.flush(now, l)
	}
	r.dropUnresponsiveLearners()
	r.acknowledge()
	r.attach(now)
	r.trimHistory()
}
