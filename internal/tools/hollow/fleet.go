package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/discovery"
	"nickelline/internal/gossip"
	"nickelline/internal/member"
	"nickelline/internal/nodestate"
	"nickelline/internal/peer"
)

const (
	internalPort  = 7660
	seeds         = 3
	certifyPeriod = 400 * time.Millisecond // as the control role does
	settlePoll    = 100 * time.Millisecond
	roleProxy     = "proxy"

	// identifierSpread makes identifiers that do not follow the order of their numbers, as those of a platform do not.
	identifierSpread = 2654435761
)

// hollow is one process without clients.
type hollow struct {
	stop      context.CancelFunc
	transport *peer.Transport
	members   *member.Service
	gossip    *gossip.Service
	state     *nodestate.State
}

// fleet is all of them, and the version of the configuration that is current.
type fleet struct {
	options *options
	nodes   []*hollow
	ended   []*hollow // that were restarted
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mutex    sync.Mutex
	version  uint64
	listed   uint64          // version of the list of backends
	since    time.Time       // when version was published
	arrivals []time.Duration // of versions at processes, since they were published
}

// address gives the process of a number an address of its own within 127.0.0.0/8.
func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 10, byte(number >> 8), byte(number)}), internalPort)
}

func newFleet(o *options) (*fleet, error) {
	if o.Controls < seeds || o.Nodes < o.Controls || o.Nodes > 1<<16 || o.Zones < 1 {
		return nil, merry.Errorf("%d processes with %d control processes in %d zones cannot be run", o.Nodes, o.Controls, o.Zones)
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{options: o, ctx: ctx, stop: stop}
	for number := range o.Nodes {
		h, err := f.newHollow(number)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, h)
	}
	for _, h := range f.nodes {
		f.start(h)
	}
	f.changeBackends()
	f.change()
	f.running.Go(func() { f.certify(ctx) })
	return f, nil
}

func (f *fleet) newHollow(number int) (*hollow, error) {
	log := zap.NewNop()
	transport, err := peer.Listen(address(number), log)
	if err != nil {
		return nil, err
	}
	role := roleProxy
	if number < f.options.Controls {
		role = gossip.ControlRole
	}
	self := member.Member{
		Name:       fmt.Sprintf("hollow-%d", number),
		Role:       role,
		Zone:       fmt.Sprintf("zone-%d", number%f.options.Zones),
		Region:     "local",
		Address:    transport.Address(),
		Generation: rand.Uint64(),
	}
	h := &hollow{transport: transport}
	h.members = member.New(self, []netip.AddrPort{address(0), address(1), address(2)}, transport, log)
	transport.SetSameZone(func(to netip.AddrPort) bool { return h.members.Table().InZone(to, self.Zone) })
	h.gossip = gossip.New(self, h.members.Table, transport, f.options.Heartbeat, log)
	h.state = nodestate.New(nodestate.Options{Node: self.Name, Zone: self.Zone, Seed: rand.Uint64(), Source: h.gossip, Log: log})
	h.gossip.Subscribe(gossip.Configuration, func(v gossip.Value) { f.arrived(v.Version.Sequence) })
	return h, nil
}

func (f *fleet) start(h *hollow) {
	var ctx context.Context
	ctx, h.stop = context.WithCancel(f.ctx)
	h.transport.Start()
	h.members.Start(ctx)
	h.gossip.Start(ctx)
}

// restart ends the process after the one that was restarted last, without a word to the others, and starts it anew.
// Control processes are left alone: they hold the versions.
func (f *fleet) restart() {
	number := f.options.Controls + len(f.ended)%(f.options.Nodes-f.options.Controls)
	old := f.nodes[number]
	old.stop()
	old.transport.Close()
	h, err := f.newHollow(number)
	if err != nil {
		panic(err) // its port was its own just now
	}
	f.mutex.Lock()
	f.ended = append(f.ended, old)
	f.nodes[number] = h
	f.mutex.Unlock()
	f.start(h)
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
	for _, h := range f.nodes {
		h.transport.Close()
	}
}

// settle waits until all processes know all others, the configuration and the backends.
func (f *fleet) settle() error {
	ready := 0
	for end := time.Now().Add(f.options.Settle); time.Now().Before(end); time.Sleep(settlePoll) {
		if ready = f.ready(); ready == f.options.Nodes {
			return nil
		}
	}
	return merry.Errorf("after %v only %d of %d processes know all others and the shared state", f.options.Settle, ready, f.options.Nodes)
}

// ready is the number of processes that know all others, the configuration and the backends.
func (f *fleet) ready() int {
	ready := 0
	for _, h := range f.nodes {
		if len(h.members.Table().Alive()) == f.options.Nodes && h.state.Configuration() != nil && h.state.Backends() != nil {
			ready++
		}
	}
	return ready
}

// change publishes a new version of the configuration at one control process.
func (f *fleet) change() {
	f.mutex.Lock()
	f.version++
	version := f.version
	f.since = time.Now()
	f.mutex.Unlock()
	at := f.nodes[int(version)%f.options.Controls]
	at.gossip.Publish(gossip.Value{
		Topic:   gossip.Configuration,
		Version: gossip.Version{Sequence: version},
		Data:    []byte(f.document(version)),
	})
}

// arrived notes that a process has put a version into force: its state was told before.
func (f *fleet) arrived(version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version == f.version {
		f.arrivals = append(f.arrivals, time.Since(f.since))
	}
}

// takeArrivals gives the arrivals since the last call.
func (f *fleet) takeArrivals() []time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	taken := f.arrivals
	f.arrivals = nil
	return taken
}

// certify proves at all control processes that what they hold is current.
func (f *fleet) certify(ctx context.Context) {
	tick := time.NewTicker(certifyPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.mutex.Lock()
		version, listed := f.version, f.listed
		f.mutex.Unlock()
		now := time.Now()
		for _, h := range f.nodes[:f.options.Controls] {
			h.gossip.Certify(gossip.Configuration, gossip.Version{Sequence: version}, now)
			h.gossip.Certify(gossip.Backends, gossip.Version{Sequence: listed}, now)
		}
	}
}

// changeBackends publishes a new version of the list, in which one backend has come in place of another.
func (f *fleet) changeBackends() {
	f.mutex.Lock()
	f.listed++
	listed := f.listed
	f.mutex.Unlock()
	backends := make([]discovery.Backend, f.options.Backends)
	for i := range backends {
		instance := i
		if uint64(i) == listed%uint64(len(backends)) {
			instance += len(backends)
		}
		backends[i] = discovery.Backend{
			ID:      fmt.Sprintf("i-%08x", uint32(instance)*identifierSpread),
			Service: serviceName,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(i >> 8), byte(i)}), 8080),
			Zone:    fmt.Sprintf("zone-%d", i%f.options.Zones),
			Version: "v1",
			Slots:   96,
		}
	}
	slices.SortFunc(backends, func(a, b discovery.Backend) int { return cmp.Compare(a.ID, b.ID) })
	data, err := discovery.Encode(discovery.NewList(backends))
	if err != nil {
		panic(err) // a list that was made here
	}
	f.nodes[0].gossip.Publish(gossip.Value{Topic: gossip.Backends, Version: gossip.Version{Sequence: listed}, Data: data})
}
