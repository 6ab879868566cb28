package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/discovery"
	"nickelline/internal/gossip"
	"nickelline/internal/load"
	"nickelline/internal/member"
	"nickelline/internal/nodestate"
	"nickelline/internal/peer"
	"nickelline/internal/settings"
)

// Names of the roles in member records.
const (
	roleProxy   = "proxy"
	roleControl = "control"
	roleStore   = "store"
)

const (
	leaveTimeout           = 300 * time.Millisecond // bounds the announcement that this process terminates
	maxHeartbeatInterval   = 1200 * time.Millisecond
	heartbeatApplyFraction = 0.5 // of ConfigApplyMs, within which a new configuration must be in force
)

// node holds the parts that the processes of all roles share: transport, membership, gossip and shared backend loads.
type node struct {
	*process
	transport *peer.Transport
	members   *member.Service
	gossip    *gossip.Service
	loads     *load.Service
	stop      context.CancelFunc
}

// newNode binds the internal address. Handlers may be registered on the transport until start is called.
func newNode(p *process, role string, address netip.AddrPort, replica uint64) (*node, error) {
	transport, err := peer.Listen(address, p.log)
	if err != nil {
		return nil, err
	}
	self := member.Member{
		Name:         p.settings.NodeName,
		Role:         role,
		Zone:         p.settings.Zone,
		Region:       p.settings.Region,
		Address:      address,
		ControlPlane: p.settings.Listen.ControlPlane,
		Replica:      replica,
		Generation:   rand.Uint64(),
	}
	n := &node{process: p, transport: transport}
	transport.SetSameZone(n.isInOwnZone)
	n.members = member.New(self, p.settings.SeedInternalAddresses(), transport, p.log)
	n.gossip = gossip.New(self, n.members.Table, transport, n.heartbeatInterval(), p.log)
	n.loads = load.New(load.Options{
		Zone:          self.Zone,
		Transport:     transport,
		Members:       n.members.Table,
		PreferredRole: roleControl,
		Log:           p.log,
	})
	return n, nil
}

// heartbeatInterval returns the interval of gossip digests. It is at most heartbeatApplyFraction of ConfigApplyMs, so
// that a new configuration is in force everywhere in time.
func (n *node) heartbeatInterval() time.Duration {
	period := n.settings.Heartbeat()
	applying := time.Duration(n.settings.Bounds.ConfigApplyMs * heartbeatApplyFraction * float64(time.Millisecond))
	if applying > 0 {
		period = min(period, applying)
	}
	return min(period, maxHeartbeatInterval)
}

// newState returns the state of this node, which gossip keeps up to date.
func (n *node) newState() *nodestate.State {
	return nodestate.New(nodestate.Options{
		Node:   n.settings.NodeName,
		Zone:   n.settings.Zone,
		Seed:   rand.Uint64(),
		Source: n.gossip,
		OnPool: func(service string, pool *admission.Pool) { n.loads.AddPool(service, pool) },
		Log:    n.log,
	})
}

// start starts sending and receiving.
func (n *node) start() {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.transport.Start()
	n.members.Start(ctx)
	n.gossip.Start(ctx)
	go n.reportTraffic(ctx)
}

// startBackendPolling starts polling the platform's listing of backends, until ctx ends.
func (n *node) startBackendPolling(ctx context.Context) error {
	platform, err := discovery.NewPlatform(n.settings.CloudAPI.Address, n.settings.CloudAPI.RatePerS)
	if err != nil {
		return err
	}
	poller := discovery.NewPoller(n.settings, n.transport.Address(), platform,
		backendsTopic{n.gossip}, memberRanks{n.members, n.transport.Address()}, n.log)
	go poller.Run(ctx)
	return nil
}

// announceLeaving announces to the other members that this process is about to terminate but still serves.
func (n *node) announceLeaving() {
	n.log.Info("process is leaving")
	n.members.UpdateSelf(func(self *member.Member) { self.Leaving = true })
}

// leave announces to the other members that this process terminates, and closes its connections.
func (n *node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.members.Leave(ctx)
	n.logTraffic()
	n.stop()
	n.transport.Close()
	n.log.Info("process has left")
	_ = n.log.Sync()
}

// backendsTopic disseminates the list of backends by gossip. It implements discovery.Distribution.
type backendsTopic struct{ gossip *gossip.Service }

func (b backendsTopic) Current() (discovery.CurrentList, bool) {
	value, proofAge, known := b.gossip.CurrentWithProof(gossip.Backends)
	return discovery.CurrentList{Sequence: value.Version.Sequence, Data: value.Data, ProofAge: proofAge}, known
}

func (b backendsTopic) Publish(sequence uint64, data []byte) {
	b.gossip.Publish(gossip.Value{Topic: gossip.Backends, Version: gossip.Version{Sequence: sequence}, Data: data})
}

func (b backendsTopic) Certify(sequence uint64, asOf time.Time) {
	b.gossip.Certify(gossip.Backends, gossip.Version{Sequence: sequence}, asOf)
}

func (b backendsTopic) Pull(ctx context.Context, node netip.AddrPort) error {
	return b.gossip.Exchange(ctx, node)
}

// memberRanks implements discovery.Ranks from the table of members.
type memberRanks struct {
	members *member.Service
	self    netip.AddrPort
}

func (r memberRanks) Rank() (rank int, control bool, members int) {
	table := r.members.Table()
	for rank, m := range table.ByRole(roleControl) {
		if m.Address == r.self {
			return rank, true, len(table.Running())
		}
	}
	return 0, false, len(table.Running())
}

func (r memberRanks) Peers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, m := range r.members.Table().ByRole(roleControl) {
		if m.Address != r.self {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

// controlNodes returns the internal addresses of the running control processes, those in this node's zone first.
func (n *node) controlNodes() []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, m := range n.members.Table().ByRole(roleControl) {
		if m.Zone == n.settings.Zone {
			near = append(near, m.Address)
		} else {
			far = append(far, m.Address)
		}
	}
	return append(near, far...)
}

// checkSettingsOnReload validates the settings file on each SIGHUP. Changes take effect at the next start, which suffices:
// the seeds, which change most often, are needed only until a process has contacted another one.
func (n *node) checkSettingsOnReload(caught *signals) {
	for range caught.reload {
		if _, err := settings.Load(); err != nil {
			n.log.Error("load settings file failed, keeping the current settings", zap.Error(err))
			continue
		}
		n.log.Info("settings file is valid and takes effect at the next start")
	}
}
