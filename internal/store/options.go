package store

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/chain"
	"nickelline/internal/configuration"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

// Options configure the store role. All fields are required, except that zero values of Bounds stand for defaults and OnFailure
// may be nil.
type Options struct {
	// Self names this store's replica, with the identity on its disk.
	Self       view.Member
	Transport  *peer.Transport
	Dispatcher *chain.Dispatcher
	// FileSystem and Directory are where the partitions are stored.
	FileSystem segment.FileSystem
	Directory  string
	// MinimumReplicas is the number of members that a view needs before anything can be committed.
	MinimumReplicas int
	Bounds          settings.Bounds
	// MemoryMB is the memory of the process in MiB, which bounds the number of items that run concurrently.
	MemoryMB  int
	Admission Admission
	Sender    Sender
	// Configuration returns the configuration, and whether it is confirmed to be as current as live requests require.
	Configuration func() (*configuration.Current, bool)
	// ControlNodes returns the internal addresses of the control nodes that are alive, those in the store's own zone first.
	ControlNodes func() []netip.AddrPort
	// ReportInterval is how often the progress of the partitions is reported to the control nodes, in addition to after changes.
	ReportInterval time.Duration
	// OnFailure is called if a replica cannot go on (chain.Options.OnFailure).
	OnFailure func(error)
	Log       *zap.Logger
}
