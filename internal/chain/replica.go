package chain

import (
	"net/netip"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Replica is a replica of a chain as a state machine without input or output: events go in by its methods, each of which
// takes a reading of a steady clock; Output tells what to do.
//
// # Protocol
//
// Each member of the view feeds its successor over a session: the successor outlines its log, the last common position
// is found, what follows it is dropped, and entries that are on the sender's disk follow. A replica acknowledges what it
// and all replicas after it have on disk; what is acknowledged to the head is committed, and the commit travels down.
// So within an epoch the log of a replica on disk always contains that of its successor, and a committed entry is on the
// disks of all members.
//
// A replica is complete if it has all that was committed in earlier epochs. Members of the first view are; one that
// joined later is once it has synced what its predecessor, itself complete, had when their session began. As entries
// are only committed with all members, a complete one stays so while it is in every view. Only complete replicas feed
// others, and only a complete head takes proposals.
type Replica struct {
	chain           uint32
	self            view.Member
	minimumReplicas int
	generation      uint64
	limits          limits

	view          view.View
	installing    *view.View // being written to disk
	completeEpoch uint64     // latest epoch in which the replica was complete, 0 if it never was
	completing    uint64     // the same, being written to disk

	history   *history
	synced    uint64
	committed uint64

	upstream  upstream
	source    netip.AddrPort // of a learner
	successor *link
	learners  map[view.ReplicaID]*link
	sessions  uint64

	head headState

	lastDisk uint64
	disk     []pendingDisk
	out      Output
}

// Recovered is what a replica found in its directory.
type Recovered struct {
	Record   Record // zero if there was none
	Snapshot segment.Snapshot
	Entries  []segment.Entry
}

// NewReplica makes the state machine of a replica that was started. The record that its first output asks to be written
// raises its generation.
func NewReplica(now time.Duration, chain uint32, self view.Member, minimumReplicas int, recovered Recovered) *Replica {
	base := Position{Epoch: recovered.Snapshot.Epoch, Sequence: recovered.Snapshot.Sequence}
	r := &Replica{
		chain:           chain,
		self:            self,
		minimumReplicas: minimumReplicas,
		generation:      recovered.Record.Generation + 1,
		limits:          defaultLimits(),
		completeEpoch:   recovered.Record.CompleteEpoch,
		history:         newHistory(base, recovered.Entries),
		committed:       base.Sequence,
		learners:        make(map[view.ReplicaID]*link),
		head:            headState{proposals: make(map[uint64]uint64)},
	}
	r.view.Chain = chain
	r.synced = r.history.last().Sequence
	installed := recovered.Record.View
	installed.Chain = chain
	r.installing = &installed
	r.write(DiskOperation{Record: r.record(installed)}, 0)
	return r
}

// Output takes what the events since the last call ask for.
func (r *Replica) Output() Output {
	out := r.out
	r.out = Output{}
	return out
}

// View gives the view that is in force.
func (r *Replica) View() view.View { return r.view }

// Status gives the replica's progress. Applied is left to the driver.
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

// Tick tells the time, for retries.
func (r *Replica) Tick(now time.Duration) { r.followUp(now) }

// Deadline gives the time at which Tick should be called, and whether there is one.
func (r *Replica) Deadline() (time.Duration, bool) {
	earliest := r.upstream.attachAt
	for _, l := range r.links() {
		if l.deadline != 0 && (earliest == 0 || l.deadline < earliest) {
			earliest = l.deadline
		}
	}
	return earliest, earliest != 0
}

// followUp follows up on what an event changed.
func (r *Replica) followUp(now time.Duration) {
	r.checkComplete()
	r.advanceReceiver()
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
