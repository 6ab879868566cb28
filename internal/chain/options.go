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
	// Self tells who the replica is and where its peers find it.
	Self view.Member
	// Registry dispatches the messages of its transport to the chains of this process.
	Registry *Registry
	// FileSystem and Directory tell where the replica keeps its log. No other chain uses the directory.
	FileSystem segment.FileSystem
	Directory  string
	// Machine is the replicated state. It is called from one goroutine.
	Machine Machine
	// MinimumReplicas is the number of disks that an entry is on before it is committed.
	MinimumReplicas int
	// SnapshotBytes is how many bytes of entries are kept before a snapshot replaces them. 0: the default.
	SnapshotBytes int
	// OnFailure is called once if the disk fails: the replica takes part in nothing from then on.
	OnFailure func(error)
	// OnStall, if there is one, is called when the disk has not answered for some time: Impaired tells the same. It is
	// called once for each stall.
	OnStall func()
	Log     *zap.Logger
}
