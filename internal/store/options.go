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

// Options set up the store role. All fields are required, except that zero values of Bounds stand for defaults and OnFailure may
// be nil.
type Options struct {
	// Self names this store's replica, with the identity on its disk.
	Self      view.Member
	Transport *peer.Transport
	Registry  *chain.Dispatcher
	// FileSystem and Directory are where the partitions are kept.
	FileSystem segment.FileSystem
	Directory  string
	// MinimumReplicas is how many members a view needs for anything to be committed.
	MinimumReplicas int
	Bounds          settings.Bounds
	// MemoryMB is the memory of the process, which bounds the items that run at one time.
	MemoryMB  int
	Admission Admission
	Sender    Sender
	// Configuration returns the configuration, and whether it is confirmed to be as current as for live requests.
	Configuration func() (*configuration.Snapshot, bool)
	// ControlNodes returns the internal addresses of the control nodes that are alive, those of the own zone first.
	ControlNodes func() []netip.AddrPort
	// ReportInterval is how often the progress of the partitions is reported to the control nodes, besides after all changes.
	ReportInterval time.Duration
	// OnFailure is called if a disk fails.
	OnFailure func(error)
	Log       *zap.Logger
}
