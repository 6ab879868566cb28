package chain

import (
	"go.uber.org/zap"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Options describe a replica of a chain.
type Options struct {
	// Chain is the number of the chain, the same at all of its replicas.
	Chain uint32
	// Self identifies the replica and gives the address at which its peers reach it.
	Self view.Member
	// Dispatcher passes the messages of its transport to the chains of this process.
	Dispatcher *Dispatcher
	// FileSystem and Directory locate the files of the replica. No other chain uses the directory.
	FileSystem segment.FileSystem
	Directory  string
	// StateMachine is the replicated state. It is called from one goroutine.
	StateMachine StateMachine
	// MinimumReplicas is the number of disks that must have an entry before it is committed. A view with fewer members
	// commits nothing.
	MinimumReplicas int
	// SnapshotBytes is how many bytes of entries are logged before a snapshot replaces them, unless the last snapshot was
	// larger: then as many bytes as that. 0 means defaultSnapshotBytes. With a larger value snapshots are written less often,
	// and recovery is slower.
	SnapshotBytes int
	// OnFailure, if set, is called once if the replica cannot go on: its log is damaged, or the state machine cannot restore a
	// snapshot. The replica takes no part in the protocol from then on. A disk that fails is no reason for that.
	OnFailure func(error)
	// OnStall, if set, is called when disk operations have taken longer than stallLimit or fail, once for each of these.
	// Impaired reports the same.
	OnStall func()
	// Log receives the events of the replica; nil discards them.
	Log *zap.Logger
}
