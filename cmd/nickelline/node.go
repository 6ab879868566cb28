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
	leaveTime           = 300 * time.Millisecond // for announcing the own end to the others
	maxHeartbeat        = 1200 * time.Millisecond
	heartbeatApplyShare = 0.5 // of the time in which a configuration has to be in force
)

// node is what the processes of all roles have in common: the transport, the table of members and gossip.
type node struct {
	*process
	transport *peer.Transport
	members   *member.Service
	gossip    *gossip.Service
	loads     *load.Service
	stop      context.CancelFunc
}

// newNode binds the internal address. Handlers may be added until start is called.
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
	n.gossip = gossip.New(self, n.members.Table, transport, n.heartbeat(), p.log)
	n.loads = load.New(load.Options{
		Zone:          self.Zone,
		Transport:     transport,
		Members:       n.members.Table,
		PreferredRole: roleControl,
		Log:           p.log,
	})
	return n, nil
}

// heartbeat is the period of digests: well within the time in which a configuration has to be in force.
func (n *node) heartbeat() time.Duration {
	period := n.settings.Heartbeat()
	applying := time.Duration(n.settings.Bounds.ConfigApplyMs * heartbeatApplyShare * float64(time.Millisecond))
	if applying > 0 {
		period = min(period, applying)
	}
	return min(period, maxHeartbeat)
}

// newState makes the state that gossip keeps up to date here.
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

// start begins to send and receive.
func (n *node) start() {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.transport.Start()
	n.members.Start(ctx)
	n.gossip.Start(ctx)
	go n.reportTraffic(ctx)
}

// pollBackends polls the platform's listing of backends until ctx ends.
func (n *node) pollBackends(ctx context.Context) error {
	platform, err := discovery.NewPlatform(n.settings.CloudAPI.Address, n.settings.CloudAPI.RatePerS)
	if err != nil {
		return err
	}
	poller := discovery.NewPoller(n.settings, n.transport.Address(), platform,
		backendsTopic{n.gossip}, ranks{n.members, n.transport.Address()}, n.log)
	go poller.Run(ctx)
	return nil
}

// announceLeaving announces to the others that this process is about to end, while it still serves.
func (n *node) announceLeaving() {
	n.members.UpdateSelf(func(self *member.Member) { self.Leaving = true })
}

// leave announces to the others that this process ends, and closes its connections.
func (n *node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	n.members.Leave(ctx)
	n.logTraffic()
	n.stop()
	n.transport.Close()
	_ = n.log.Sync()
}

// backendsTopic spreads the list of backends by gossip.
type backendsTopic struct{ gossip *gossip.Service }

func (b backendsTopic) Current() (sequence uint64, data []byte, ok bool) {
	value, ok := b.gossip.Current(gossip.Backends)
	return value.Version.Sequence, value.Data, ok
}

func (b backendsTopic) Publish(sequence uint64, data []byte) {
	b.gossip.Publish(gossip.Value{Topic: gossip.Backends, Version: gossip.Version{Sequence: sequence}, Data: data})
}

func (b backendsTopic) Certify(sequence uint64, asOf time.Time) {
	b.gossip.Certify(gossip.Backends, gossip.Version{Sequence: sequence}, asOf)
}

func (b backendsTopic) ProofAge() time.Duration { return b.gossip.ProofAge(gossip.Backends) }

func (b backendsTopic) Pull(ctx context.Context, node netip.AddrPort) error {
	return b.gossip.Exchange(ctx, node)
}

// ranks implements what discovery needs of the members: the rank of this node among the control processes, and the others.
type ranks struct {
	members *member.Service
	self    netip.AddrPort
}

func (r ranks) Rank() (rank int, control bool, members int) {
	table := r.members.Table()
	for rank, m := range table.ByRole(roleControl) {
		if m.Address == r.self {
			return rank, true, len(table.Running())
		}
	}
	return 0, false, len(table.Running())
}

func (r ranks) Peers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, m := range r.members.Table().ByRole(roleControl) {
		if m.Address != r.self {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

// controlNodes returns the internal addresses of the control processes that run, those of the own zone first.
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

// reload checks the settings file at each SIGHUP. What it holds counts from the next start: the seeds, which change most
// often, are needed only until a process has met another one.
func (n *node) reload(caught *signals) {
	for range caught.reload {
		if _, err := settings.Load(); err != nil {
			n.log.Error("check settings file failed, the present settings stay", zap.Error(err))
			continue
		}
		n.log.Info("settings file is valid and counts from the next start")
	}
}
