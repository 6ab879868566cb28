package main

import (
	"context"
	"net/netip"
	"time"

	"nickelline/internal/configuration"
	"nickelline/internal/control"
	"nickelline/internal/gossip"
	"nickelline/internal/quota"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

const handOverFraction = 0.4 // of the grace period, within which a terminating replica hands over to others

// ControlCommand runs the control role, which keeps the replicated control state.
type ControlCommand struct{}

// Run serves until the process is asked to terminate.
func (ControlCommand) Run(caught *signals) error {
	return runRole(caught, newControlNode)
}

// controlNode is a node with the control role.
type controlNode struct {
	*node
	control *control.Control
	quotas  *quota.Service // nil in a process without a replica
	failed  chan error     // receives the failure of a replica that cannot go on
}

// newControlNode opens the control state. Nothing is received or sent before startServices.
func newControlNode(p *process, wait *diskWait) (*controlNode, error) {
	n := &controlNode{failed: make(chan error, 1)}
	replica, err := loadIdentity(diskFileSystem, p.settings.DataDirectory, wait)
	if err != nil {
		return nil, err
	}
	if n.node, err = newNode(p, roleControl, p.settings.ControlInternalAddress(p.settings.IP), uint64(replica)); err != nil {
		return nil, err
	}
	n.control, err = control.New(control.Options{
		Settings:      p.settings,
		FileSystem:    diskFileSystem,
		Replica:       replica,
		Transport:     n.transport,
		Members:       n.members,
		Configuration: topic{n.gossip, gossip.Configuration},
		Placement:     topic{n.gossip, gossip.Placement},
		OnFailure:     reportFirstFailure(n.failed),
		AwaitDisk:     wait.again,
		Log:           p.log,
	})
	if err != nil {
		n.transport.Close()
		return nil, err
	}
	n.quotas = serveQuotas(n.node, n.control)
	return n, nil
}

// startServices starts all services of the node. They stop when ctx ends or with shutDown.
func (n *controlNode) startServices(ctx context.Context, caught *signals) error {
	n.start()
	n.serveMetrics(allocatorMetrics(n.quotas), controlMetrics(n.control))
	n.control.Start()
	if err := n.startBackendPolling(ctx); err != nil {
		return err
	}
	go n.checkSettingsOnReload(caught)
	return nil
}

// serve returns when the process is asked to terminate, or when its replica cannot go on.
func (n *controlNode) serve(_ context.Context, caught *signals) error {
	return n.awaitTermination(n.failed, caught)
}

// shutDown hands over to another replica, within a limited time, and closes the node.
func (n *controlNode) shutDown(ctx context.Context) {
	n.announceLeaving()
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout(n.settings))
	n.control.Stop(ctx)
	cancel()
	n.leave()
}

// loadIdentity returns the identity of the replica on the disk, or 0 if the machine has no disk. While the disk fails, it waits.
func loadIdentity(fileSystem segment.FileSystem, directory string, wait *diskWait) (view.ReplicaID, error) {
	if directory == "" {
		return 0, nil
	}
	for {
		replica, _, err := view.LoadIdentity(fileSystem, directory)
		if !segment.IsTransient(err) || !wait.again(err) {
			return replica, err
		}
	}
}

// handOverTimeout returns how long a terminating replica tries to hand over to others.
func handOverTimeout(s *settings.Settings) time.Duration {
	return settings.Seconds(s.Bounds.GracePeriodS * handOverFraction)
}

// serveQuotas makes this node allocate the tenants' limits while it is the head of the control chain. It returns nil in a
// process without a replica.
func serveQuotas(n *node, role *control.Control) *quota.Service {
	headStatus := role.HeadStatus()
	if headStatus == nil {
		return nil
	}
	limits := func(tenant string) quota.Limit { return limitOf(role.State().Configuration, tenant) }
	policy := quota.PolicyOf(&n.settings.Bounds)
	service := quota.NewService(policy, headStatus, leaseholderRegistry{role}, limits, n.isGone, n.transport, n.log)
	role.OnView(func(v view.View, head bool) { service.ObserveView(v.Epoch, head) })
	return service
}

// isGone reports whether no running process is known at an address.
func (n *node) isGone(address netip.AddrPort) bool {
	found, known := n.members.Table().Get(address)
	return !known || !found.Running()
}

// limitOf returns the limit of a tenant in a configuration, which may be nil. It is zero for an unknown tenant.
func limitOf(snapshot *configuration.Snapshot, tenant string) quota.Limit {
	if snapshot == nil {
		return quota.Limit{}
	}
	found := snapshot.TenantByName(tenant)
	if found == nil {
		return quota.Limit{}
	}
	return quota.Limit{Rate: found.RatePerSecond, Burst: found.Burst}
}

// leaseholderRegistry keeps the list of proxies that may hold quota leases in the control state.
type leaseholderRegistry struct{ role *control.Control }

func (r leaseholderRegistry) Current() quota.RegistryState {
	return registryStateOf(r.role.State().Leaseholders)
}

func (r leaseholderRegistry) Change(ctx context.Context, c quota.RegistryChange) (quota.RegistryState, error) {
	set, err := r.role.ChangeLeaseholders(ctx, &control.ChangeLeaseholders{
		Epoch:            c.Epoch,
		ExpectedRevision: c.ExpectedRevision,
		Add:              leaseholdersOf(c.Add),
		Remove:           leaseholdersOf(c.Remove),
		SpendAll:         c.SpendAll,
		Keep:             c.Keep,
		Spend:            c.Spend,
	})
	return registryStateOf(set), err
}

func registryStateOf(set control.LeaseholderSet) quota.RegistryState {
	state := quota.RegistryState{Epoch: set.Epoch, Revision: set.Revision, Reserves: set.Reserves}
	for _, member := range set.Members {
		state.Leaseholders = append(state.Leaseholders, quota.Leaseholder(member))
	}
	for _, former := range set.Former {
		state.Former = append(state.Former, quota.Leaseholder(former))
	}
	return state
}

func leaseholdersOf(processes []quota.Leaseholder) []control.Leaseholder {
	var leaseholders []control.Leaseholder
	for _, process := range processes {
		leaseholders = append(leaseholders, control.Leaseholder(process))
	}
	return leaseholders
}

// topic publishes and certifies versions of one gossip topic, which are ordered by their sequence numbers.
type topic struct {
	gossip *gossip.Service
	topic  gossip.Topic
}

func (t topic) Publish(sequence uint64, data []byte) {
	t.gossip.Publish(gossip.Value{Topic: t.topic, Version: gossip.Version{Sequence: sequence}, Data: data})
}

func (t topic) Certify(sequence uint64, asOf time.Time) {
	t.gossip.Certify(t.topic, gossip.Version{Sequence: sequence}, asOf)
}

var (
	_ control.Topic    = topic{}
	_ quota.HeadStatus = (*control.HeadStatus)(nil)
	_ quota.Registry   = leaseholderRegistry{}
)
