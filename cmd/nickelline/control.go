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

const handOverPart = 0.4 // of the grace period: in which a replica that ends hands its place over

// ControlCommand is the role that keeps the control state.
type ControlCommand struct{}

// Run serves until the process is told to end.
func (ControlCommand) Run(caught *signals) error {
	p, err := newProcess()
	if err != nil {
		return err
	}
	fileSystem := segment.OperatingSystem{}
	replica, err := controlIdentity(p.settings, fileSystem)
	if err != nil {
		return err
	}
	n, err := newNode(p, roleControl, p.settings.ControlInternal(p.settings.IP), uint64(replica))
	if err != nil {
		return err
	}
	failed := make(chan error, 1) // the first failure counts
	role, err := control.New(control.Options{
		Settings:      p.settings,
		FileSystem:    fileSystem,
		Replica:       replica,
		Transport:     n.transport,
		Members:       n.members,
		Configuration: topic{n.gossip, gossip.Configuration},
		Placement:     topic{n.gossip, gossip.Placement},
		OnFailure:     diskFailure(failed),
		Log:           p.log,
	})
	if err != nil {
		return err
	}
	serveQuotas(n, role)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n.start()
	n.serveMetrics()
	role.Start()
	if err := n.pollBackends(ctx); err != nil {
		return err
	}
	go n.reload(caught)
	err = p.awaitEnd(failed, caught, fileSystem)
	n.leaveSoon()
	handOver, cancel := context.WithTimeout(ctx, handOverTime(p.settings))
	role.Stop(handOver)
	cancel()
	n.leave()
	return err
}

// controlIdentity gives the identity of the replica on the disk, 0 where the machine has no disk.
func controlIdentity(s *settings.Settings, fileSystem segment.FileSystem) (view.ReplicaID, error) {
	if s.DataDirectory == "" {
		return 0, nil
	}
	replica, _, err := view.LoadIdentity(fileSystem, s.DataDirectory)
	return replica, err
}

// handOverTime is how long a replica that is to end tries to hand its place over.
func handOverTime(s *settings.Settings) time.Duration {
	return settings.Seconds(s.Bounds.GracePeriodS * handOverPart)
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

// isGone tells whether no process is known to run at an address.
func (n *node) isGone(address netip.AddrPort) bool {
	found, known := n.members.Table().Get(address)
	return !known || !found.Running()
}

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
	})
	return registryStateOf(set), err
}

func registryStateOf(set control.LeaseholderSet) quota.RegistryState {
	state := quota.RegistryState{Revision: set.Revision}
	for _, member := range set.Members {
		state.Leaseholders = append(state.Leaseholders, quota.Leaseholder(member))
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
