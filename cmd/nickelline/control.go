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

const handOverShare = 0.4 // of the grace period: in which a replica that ends hands over to others

// ControlCommand is the role that keeps the control state.
type ControlCommand struct{}

// Run serves until the process is asked to end.
func (ControlCommand) Run(caught *signals) error {
	return runRole(caught, newControlNode)
}

// controlNode is a node with the control role.
type controlNode struct {
	*node
	control    *control.Control
	fileSystem segment.OSFileSystem
	diskFailed chan error // receives the first failure of a disk
}

// newControlNode opens the control state. Nothing is received or sent before run.
func newControlNode(p *process) (*controlNode, error) {
	n := &controlNode{diskFailed: make(chan error, 1)}
	replica, err := controlIdentity(p.settings, n.fileSystem)
	if err != nil {
		return nil, err
	}
	if n.node, err = newNode(p, roleControl, p.settings.ControlInternalAddress(p.settings.IP), uint64(replica)); err != nil {
		return nil, err
	}
	n.control, err = control.New(control.Options{
		Settings:      p.settings,
		FileSystem:    n.fileSystem,
		Replica:       replica,
		Transport:     n.transport,
		Members:       n.members,
		Configuration: topic{n.gossip, gossip.Configuration},
		Placement:     topic{n.gossip, gossip.Placement},
		OnFailure:     diskFailure(n.diskFailed),
		Log:           p.log,
	})
	if err != nil {
		return nil, err
	}
	serveQuotas(n.node, n.control)
	return n, nil
}

// run starts all services of the node, which end with ctx or with end.
func (n *controlNode) run(ctx context.Context, caught *signals) error {
	n.start()
	n.serveMetrics()
	n.control.Start()
	if err := n.pollBackends(ctx); err != nil {
		return err
	}
	go n.reload(caught)
	return nil
}

// serve returns when the process is asked to end, or its disk has failed.
func (n *controlNode) serve(_ context.Context, caught *signals) error {
	return n.awaitEnd(n.diskFailed, caught, n.fileSystem)
}

// end has another replica take over, within a limited time, and closes the node.
func (n *controlNode) end(ctx context.Context) {
	n.announceLeaving()
	ctx, cancel := context.WithTimeout(ctx, handOverTime(n.settings))
	n.control.Stop(ctx)
	cancel()
	n.leave()
}

// controlIdentity returns the identity of the replica on the disk, 0 where the machine has no disk.
func controlIdentity(s *settings.Settings, fileSystem segment.FileSystem) (view.ReplicaID, error) {
	if s.DataDirectory == "" {
		return 0, nil
	}
	replica, _, err := view.LoadIdentity(fileSystem, s.DataDirectory)
	return replica, err
}

// handOverTime is how long a replica that is to end tries to hand over to others.
func handOverTime(s *settings.Settings) time.Duration {
	return settings.Seconds(s.Bounds.GracePeriodS * handOverShare)
}

// serveQuotas has this node share out the tenants' limits while it is the head of the control chain.
func serveQuotas(n *node, role *control.Control) {
	headStatus := role.HeadStatus()
	if headStatus == nil {
		return
	}
	limits := func(tenant string) quota.Limit { return limitOf(role.State().Configuration, tenant) }
	policy := quota.PolicyOf(&n.settings.Bounds)
	service := quota.NewService(policy, headStatus, leaseholderRegistry{role}, limits, n.isGone, n.transport, n.log)
	role.OnView(func(v view.View, head bool) { service.ObserveView(v.Epoch, head) })
}

// isGone reports whether no process is known to run at an address.
func (n *node) isGone(address netip.AddrPort) bool {
	found, known := n.members.Table().Get(address)
	return !known || !found.Running()
}

// limitOf returns the limit of a tenant by a configuration, which may be nil. It is zero if the tenant is not known.
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

// leaseholderRegistry keeps the proxies that may hold leases in the control state.
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

// topic publishes the versions of one topic. A version's number orders it.
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
