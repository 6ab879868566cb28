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
	// MinimumReplicas is the least number of disks that an entry is on before it is committed. A view with fewer members
	// commits nothing.
	MinimumReplicas int
	// SnapshotBytes is how many bytes of entries are kept before a snapshot replaces them; defaultSnapshotBytes if it is 0.
	// A larger value writes snapshots less often, and recovers more slowly.
	SnapshotBytes int
	// OnFailure, if set, is called once if the disk fails: the replica takes no part in the protocol from then on.
	OnFailure func(error)
	// OnStall, if set, is called when disk operations have taken longer than stallLimit, once for each stall. Impaired
	// reports the same.
	OnStall func()
	// Log receives the events of the replica; nil discards them.
	Log *zap.Logger
}
