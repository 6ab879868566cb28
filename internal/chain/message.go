package chain

import (
	"net/netip"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Position names an entry of a log. Logs that hold the same position hold the same entries up to it.
type Position struct{ Epoch, Sequence uint64 }

// Session names one connection from a replica to the one that it feeds. Sessions of a sender are ordered: a later one
// replaces an earlier one.
type Session struct {
	Generation uint64 // of the sender: how often it was started
	Number     uint64
}

// After tells whether s is later than other, given that both are of one sender.
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
	Body   Body
}

// Body is one of the types of messages.
type Body interface{ body() }

// Attach asks the receiver to connect to the sender. Session is the one that the sender has, or the one that it cannot
// make use of; zero if it has none.
type Attach struct {
	Session Session
	Broken  bool
}

// Connect begins a session from a replica to its successor, or to a learner.
type Connect struct{ Session Session }

// Run is a part of a log whose entries are of one epoch.
type Run struct{ Epoch, First, Last uint64 }

// History answers Connect with an outline of the receiver's log.
type History struct {
	Session    Session
	Generation uint64 // of the process that answers
	Committed  uint64
	Runs       []Run
}

// Start tells the receiver to cut its log after Match: entries follow from there. A member of the view that has synced
// Target is complete.
type Start struct {
	Session    Session
	Generation uint64
	Match      Position
	Target     uint64
}

// SnapshotChunk is a piece of a snapshot that replaces the receiver's log.
type SnapshotChunk struct {
	Session    Session
	Generation uint64
	Position   Position
	Total      uint64
	Offset     uint64
	Data       []byte
}

// Append carries entries that follow Previous, what is committed, and the newest barrier. Each part may be empty.
type Append struct {
	Session   Session
	Previous  Position
	Entries   []segment.Entry
	Committed uint64
	Barrier   uint64
}

// Acknowledge tells what the receiver of a session and all replicas after it have on disk.
type Acknowledge struct {
	Session       Session
	Synced        uint64
	Stored        uint64 // on the disk of the receiver alone
	Barrier       uint64 // newest barrier that came back from the tail
	SnapshotBytes uint64 // received of a snapshot
	Ready         bool   // the chain is connected from here to the tail
}

// ViewRequest asks for the view that the receiver has.
type ViewRequest struct{}

// ViewNotice tells a view that was decided.
type ViewNotice struct{ View view.View }

func (Attach) body() {}

func (Connect) body() {}

func (History) body() {}

func (Start) body() {}

func (SnapshotChunk) body() {}

func (Append) body() {}

func (Acknowledge) body() {}

func (ViewRequest) body() {}

func (ViewNotice) body() {}

// Outgoing is a message with its destination.
type Outgoing struct {
	To       netip.AddrPort
	Envelope Envelope
}
