package chain

import (
	"net/netip"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Position identifies an entry of a log. Logs that hold the same position hold the same entries up to it.
type Position struct{ Epoch, Sequence uint64 }

// Session identifies one connection from a replica to the one that receives from it. Sessions of a sender are ordered:
// a later one replaces an earlier one.
type Session struct {
	Generation uint64 // how often the sender was started
	Number     uint64 // counts the sessions of one start
}

// After reports whether s is later than other, given that both are of one sender.
func (s Session) After(other Session) bool {
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Number > other.Number
}

// Envelope is a message between replicas of one chain, with the epoch of its sender.
type Envelope struct {
	Chain  uint32
	Epoch  uint64
	Sender view.ReplicaID
	// Receiver is the replica that the message is for; another one may run at the address by the time it arrives. It is 0 only
	// in messages that any replica at the address may handle: requests for a view, views, and the first Attach of a learner,
	// which knows its source by address only.
	Receiver view.ReplicaID
	Body     Body
}

// Body is the content of an envelope: one of the message types in this file.
type Body interface{ body() }

// Attach asks the receiver to begin a session with the sender. Session is the current session of the sender, zero if it
// has none, or the session that it cannot use if Broken is set.
type Attach struct {
	Session Session
	Broken  bool
}

// Connect begins a session from a replica to its successor, or to a learner.
type Connect struct{ Session Session }

// Run is a range of sequences, both ends included, whose entries are of one epoch.
type Run struct{ Epoch, First, Last uint64 }

// History answers Connect with an outline of the receiver's log.
type History struct {
	Session    Session
	Generation uint64 // of the replica that answers
	Committed  uint64 // sequence up to which it knows entries to be committed
	Runs       []Run
}

// Start tells the receiver to truncate its log after Match; the entries that follow Match come in Append messages. A
// member of the view that has synced Target is complete.
type Start struct {
	Session    Session
	Generation uint64 // of the receiver, which ignores the message after a restart
	Match      Position
	Target     uint64
}

// SnapshotChunk carries a range of bytes of a snapshot that replaces the receiver's log.
type SnapshotChunk struct {
	Session    Session
	Generation uint64   // of the receiver, which ignores the message after a restart
	Position   Position // of the last entry that the snapshot replaces
	Total      uint64   // bytes of the snapshot
	Offset     uint64   // of Data, in bytes
	Data       []byte
}

// Append carries entries that follow Previous, the sequence up to which the sender knows entries to be committed, and
// the newest barrier round. Entries may be empty.
type Append struct {
	Session   Session
	Previous  Position
	Entries   []segment.Entry
	Committed uint64
	Barrier   uint64
}

// Acknowledge reports the progress of the receiver of a session and of all replicas after it.
type Acknowledge struct {
	Session       Session
	Synced        uint64 // sequence up to which the log is on the disks of the receiver and of all after it
	Stored        uint64 // sequence up to which the log is on the receiver's disk
	Barrier       uint64 // newest barrier round that came back from the tail
	SnapshotBytes uint64 // bytes of a snapshot that were received
	Ready         bool   // the chain is connected from the receiver to the tail
}

// ViewRequest asks for the view that the receiver has.
type ViewRequest struct{}

// ViewNotice carries a view that was decided.
type ViewNotice struct{ View view.View }

func (Attach) body()        {}
func (Connect) body()       {}
func (History) body()       {}
func (Start) body()         {}
func (SnapshotChunk) body() {}
func (Append) body()        {}
func (Acknowledge) body()   {}
func (ViewRequest) body()   {}
func (ViewNotice) body()    {}

// Outgoing is a message with its destination.
type Outgoing struct {
	To       netip.AddrPort
	Envelope Envelope
}
