package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"nickelline/internal/chain"
	"nickelline/internal/configuration"
	"nickelline/internal/forward"
	"nickelline/internal/nodestate"
	"nickelline/internal/placement"
	"nickelline/internal/segment"
	"nickelline/internal/store"
	"nickelline/internal/view"
)

const (
	storeDescriptors = 0.7                    // of all descriptors: connections to backends
	reportInterval   = 500 * time.Millisecond // of reports to the head of the control chain, besides all changes
)

// StoreCommand is the role that keeps and runs batch jobs.
type StoreCommand struct{}

// Run serves until the process is told to end.
func (StoreCommand) Run(caught *signals) error {
	p, err := newProcess()
	if err != nil {
		return err
	}
	fileSystem := segment.OperatingSystem{}
	replica, _, err := view.LoadIdentity(fileSystem, p.settings.DataDirectory)
	if err != nil {
		return err
	}
	n, err := newNode(p, roleStore, p.settings.StoreInternal(), uint64(replica))
	if err != nil {
		return err
	}
	state := n.newState()
	sender := forward.NewClient(forward.Options{
		Connections: int(storeDescriptors * float64(p.settings.Limits.FileDescriptors)),
		Log:         p.log,
	})
	state.OnBackends(sender.SetBackends)
	failed := make(chan error, 1) // the first failure counts
	role, err := store.New(store.Options{
		Self: view.Member{
			Replica: replica,
			Name:    p.settings.NodeName,
			Zone:    p.settings.Zone,
			Address: n.transport.Address(),
		},
		Transport:       n.transport,
		Registry:        chain.NewRegistry(n.transport, p.log),
		FileSystem:      fileSystem,
		Directory:       p.settings.DataDirectory,
		MinimumReplicas: p.settings.FaultTolerance.Losses() + 1,
		Bounds:          p.settings.Bounds,
		MemoryMB:        p.settings.Limits.MemoryMB,
		Admission:       store.PoolAdmission(state.Pool),
		Sender:          sender,
		Configuration:   provenConfiguration(state, maxProofAge(p.settings)),
		ControlNodes:    n.controlNodes,
		ReportInterval:  reportInterval,
		OnFailure:       diskFailure(failed),
		Log:             p.log,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	state.OnPlacement(role.SetPlacement)
	n.start()
	n.serveMetrics(poolFigures(state), storeFigures(role))
	go sender.Run(ctx)
	go n.loads.Run(ctx)
	go role.Run(ctx)
	if err := n.pollBackends(ctx); err != nil {
		return err
	}
	go n.reload(caught)
	err = p.awaitEnd(failed, caught, fileSystem)
	n.leaveSoon()
	awaitPlaceless(state, replica, handOverTime(p.settings))
	role.Close()
	n.leave()
	return err
}

// awaitPlaceless returns once no view names a replica any more, or after a time: then its chains have to notice that it
// is gone.
func awaitPlaceless(state *nodestate.State, replica view.ReplicaID, limit time.Duration) {
	placeless := make(chan struct{})
	var once sync.Once
	state.OnPlacement(func(table *placement.Table) {
		if !isMember(table, replica) {
			once.Do(func() { close(placeless) })
		}
	})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-placeless:
	case <-timer.C:
	}
}

// isMember tells whether the view of any partition names a replica.
func isMember(table *placement.Table, replica view.ReplicaID) bool {
	return slices.ContainsFunc(table.Partitions, func(p placement.Partition) bool { return p.View.Has(replica) })
}

// provenConfiguration gives the configuration and whether it is proven to be current.
func provenConfiguration(state *nodestate.State, maxAge time.Duration) func() (*configuration.Snapshot, bool) {
	return func() (*configuration.Snapshot, bool) {
		proven := maxAge == 0 || state.ConfigurationAge() <= maxAge
		return state.Configuration(), proven
	}
}
