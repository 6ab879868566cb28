package chain

import (
	"context"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/faultdisk"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

const testTimeout = 20 * time.Second

// sumMachine is a state machine that adds up numbers. It keeps the padding of the last command, to make snapshots large.
type sumMachine struct {
	total   uint64
	padding []byte
}

func (m *sumMachine) Apply(_ uint64, command []byte) []byte {
	m.total += binary.LittleEndian.Uint64(command)
	if len(command) > 8 {
		m.padding = command[8:]
	}
	return binary.LittleEndian.AppendUint64(nil, m.total)
}

func (m *sumMachine) Snapshot() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, m.total), m.padding...)
}

func (m *sumMachine) Restore(snapshot []byte) error {
	m.total = binary.LittleEndian.Uint64(snapshot)
	m.padding = snapshot[8:]
	return nil
}

func addCommand(n uint64) []byte { return binary.LittleEndian.AppendUint64(nil, n) }

// member is a replica with its directory. It may be closed and opened again at the same address.
type member struct {
	directory    string
	disk         *faultdisk.Disk
	self         view.Member
	transport    *peer.Transport
	machine      *sumMachine
	node         *Node
	reconfigurer *Reconfigurer
	cancel       context.CancelFunc
	stopped      chan struct{}
	up           bool
}

// cluster is a chain over loopback whose replicas agree on their views.
type cluster struct {
	t       testing.TB
	seeds   []netip.AddrPort
	members []*member
	policy  view.Policy
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newCluster(t testing.TB, seeds, all int) *cluster {
	return newClusterOf(t, seeds, all, view.Policy{MinimumMembers: 2, MaximumMembers: 3})
}

func newClusterOf(t testing.TB, seeds, all int, policy view.Policy) *cluster {
	return newClusterWith(t, seeds, all, policy, nil)
}

// newClusterWith returns a cluster whose disks have a fault from the start.
func newClusterWith(t testing.TB, seeds, all int, policy view.Policy, fault *faultdisk.Fault) *cluster {
	c := &cluster{t: t, policy: policy}
	transports := make([]*peer.Transport, all)
	for i := range transports {
		transports[i] = c.listen(netip.MustParseAddrPort("127.0.0.1:0"))
		if i < seeds {
			c.seeds = append(c.seeds, transports[i].Address())
		}
	}
	for i := range transports {
		m := &member{directory: t.TempDir(), disk: faultdisk.New(segment.OSFileSystem{})}
		m.disk.Set(fault)
		c.members = append(c.members, m)
		c.open(m, transports[i], i < seeds)
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.close(m)
		}
	})
	c.announce()
	return c
}

func (c *cluster) listen(address netip.AddrPort) *peer.Transport {
	c.t.Helper()
	transport, err := peer.Listen(address, zap.NewNop())
	if err != nil {
		c.t.Fatal(err)
	}
	return transport
}

func (c *cluster) open(m *member, transport *peer.Transport, firstStart bool) {
	c.t.Helper()
	replica, _, err := view.LoadIdentity(m.disk, m.directory)
	if err != nil {
		c.t.Fatal(err)
	}
	m.transport = transport
	m.self = view.Member{Replica: replica, Name: m.directory, Address: transport.Address()}
	m.machine = &sumMachine{}
	m.node, err = Open(Options{
		Self:            m.self,
		Dispatcher:      NewDispatcher(transport, zap.NewNop()),
		FileSystem:      m.disk,
		Directory:       m.directory + "/chain",
		StateMachine:    m.machine,
		MinimumReplicas: c.policy.MinimumMembers,
		SnapshotBytes:   4 << 10,
		Log:             zap.NewNop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	m.reconfigurer, err = NewReconfigurer(ReconfigurerOptions{Node: m.node, Seeds: c.seeds, FirstStart: firstStart, Policy: c.policy})
	if err != nil {
		c.t.Fatal(err)
	}
	transport.Start()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.stopped = make(chan struct{})
	m.up = true
	go func() {
		defer close(m.stopped)
		m.reconfigurer.Run(ctx)
	}()
}

// reopen opens a closed member again at its address.
func (c *cluster) reopen(m *member) {
	c.t.Helper()
	c.open(m, c.listen(m.self.Address), false)
}

func (c *cluster) close(m *member) {
	if !m.up {
		return
	}
	m.up = false
	m.cancel()
	m.transport.Close()
	m.node.Close()
	<-m.stopped
}

// announce tells all running reconfigurers which replicas are up.
func (c *cluster) announce() {
	var candidates []view.Candidate
	for _, m := range c.members {
		candidates = append(candidates, view.Candidate{Member: m.self, Reachable: m.up})
	}
	for _, m := range c.members {
		if m.up {
			m.reconfigurer.SetCandidates(candidates)
		}
	}
}

func (c *cluster) propose(m *member, n uint64) uint64 {
	c.t.Helper()
	result, err := m.node.Propose(testContext(c.t), addCommand(n))
	if err != nil {
		c.t.Fatalf("propose: %v", err)
	}
	return binary.LittleEndian.Uint64(result)
}

// head returns the node that is head of the chain.
func (c *cluster) head() *Node {
	c.t.Helper()
	for _, m := range c.members {
		if m.node.IsHead() {
			return m.node
		}
	}
	c.t.Fatal("no node is head of the chain")
	return nil
}

// total reads the sum at a replica after a barrier.
func (c *cluster) total(m *member) uint64 {
	c.t.Helper()
	if err := m.node.Barrier(testContext(c.t)); err != nil {
		c.t.Fatalf("barrier: %v", err)
	}
	m.node.mutex.Lock()
	defer m.node.mutex.Unlock()
	return m.machine.total
}

// awaitView waits until a replica is in a view that matches.
func (c *cluster) awaitView(m *member, matches func(view.View) bool) {
	c.t.Helper()
	if err := m.node.wait(testContext(c.t), func() bool { return matches(m.node.replica.view) }); err != nil {
		c.t.Fatalf("wait for a view: %v; got %+v", err, m.node.View())
	}
}

func ofSize(size int) func(view.View) bool {
	return func(v view.View) bool { return len(v.Members) == size }
}
