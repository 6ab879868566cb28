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
	"nickelline/internal/store"
	"nickelline/internal/view"
)

const (
	storeDescriptorFraction = 0.7                    // of all file descriptors, for connections to backends
	reportInterval          = 500 * time.Millisecond // of reports to the head of the control chain, in addition to those after changes
)

// StoreCommand runs the store role, which keeps and runs batch jobs.
type StoreCommand struct{}

// Run serves until the process is asked to terminate.
func (StoreCommand) Run(caught *signals) error {
	return runRole(caught, newStoreNode)
}

// storeNode is a node with the store role.
type storeNode struct {
	*node
	state   *nodestate.State
	sender  *forward.Client
	store   *store.Service
	replica view.ReplicaID
	failed  chan error // receives the failure of a replica that cannot go on
}

// newStoreNode opens the store's partitions. Nothing is received or sent before startServices.
func newStoreNode(p *process, wait *diskWait) (*storeNode, error) {
	n := &storeNode{failed: make(chan error, 1)}
	var err error
	if n.replica, err = loadIdentity(diskFileSystem, p.settings.DataDirectory, wait); err != nil {
		return nil, err
	}
	if n.node, err = newNode(p, roleStore, p.settings.StoreInternalAddress(), uint64(n.replica)); err != nil {
		return nil, err
	}
	n.state = n.newState()
	n.sender = forward.NewClient(forward.Options{
		MaxConnections: int(storeDescriptorFraction * float64(p.settings.Limits.FileDescriptors)),
		Log:            n.log,
	})
	n.state.OnBackends(n.sender.SetBackends)
	if n.store, err = store.New(n.storeOptions()); err != nil {
		n.transport.Close()
		return nil, err
	}
	return n, nil
}

func (n *storeNode) storeOptions() store.Options {
	return store.Options{
		Self: view.Member{
			Replica: n.replica,
			Name:    n.settings.NodeName,
			Zone:    n.settings.Zone,
			Address: n.transport.Address(),
		},
		Transport:       n.transport,
		Dispatcher:      chain.NewDispatcher(n.transport, n.log),
		FileSystem:      diskFileSystem,
		Directory:       n.settings.DataDirectory,
		MinimumReplicas: n.settings.FaultTolerance.Losses() + 1,
		Bounds:          n.settings.Bounds,
		MemoryMB:        n.settings.Limits.MemoryMB,
		Admission:       store.PoolAdmission(n.state.Pool),
		Sender:          n.sender,
		Configuration:   provenConfiguration(n.state, maxProofAge(n.settings)),
		ControlNodes:    n.controlNodes,
		ReportInterval:  reportInterval,
		OnFailure:       reportFirstFailure(n.failed),
		Log:             n.log,
	}
}

// startServices starts all services of the node. They stop when ctx ends or with shutDown.
func (n *storeNode) startServices(ctx context.Context, caught *signals) error {
	n.state.OnPlacement(n.store.SetPlacement)
	n.start()
	n.serveMetrics(poolMetrics(n.state), senderMetrics(n.sender), storeMetrics(n.store))
	go n.sender.Run(ctx)
	go n.loads.Run(ctx)
	go n.store.Run(ctx)
	if err := n.startBackendPolling(ctx); err != nil {
		return err
	}
	go n.checkSettingsOnReload(caught)
	return nil
}

// serve returns when the process is asked to terminate, or when a replica cannot go on.
func (n *storeNode) serve(_ context.Context, caught *signals) error {
	return n.awaitTermination(n.failed, caught)
}

// shutDown waits until other stores have taken over the partitions, for a limited time, and closes the node.
func (n *storeNode) shutDown(context.Context) {
	n.announceLeaving()
	awaitRemovalFromViews(n.state, n.replica, handOverTimeout(n.settings))
	n.store.Close()
	n.leave()
}

// awaitRemovalFromViews returns once no view contains the replica any longer, or after limit. In the latter case, the chains
// that still contain the replica have to detect its failure.
func awaitRemovalFromViews(state *nodestate.State, replica view.ReplicaID, limit time.Duration) {
	removed := make(chan struct{})
	var once sync.Once
	state.OnPlacement(func(table *placement.Table) {
		if !isMember(table, replica) {
			once.Do(func() { close(removed) })
		}
	})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-removed:
	case <-timer.C:
	}
}

// isMember reports whether the view of any partition contains the replica.
func isMember(table *placement.Table, replica view.ReplicaID) bool {
	return slices.ContainsFunc(table.Partitions, func(p placement.Partition) bool { return p.View.Has(replica) })
}

// provenConfiguration returns a function that returns the configuration and whether it is proven to be current: the proof of
// that version is at most maxAge old, or maxAge is 0. Before the first configuration it returns nil and false.
func provenConfiguration(state *nodestate.State, maxAge time.Duration) func() (*configuration.Current, bool) {
	return func() (*configuration.Current, bool) {
		current := state.Configuration()
		if current == nil {
			return nil, false
		}
		return current, maxAge == 0 || current.ProofAge() <= maxAge
	}
}
