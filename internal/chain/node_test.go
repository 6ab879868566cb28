package chain

import (
	"context"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

const testTimeout = 20 * time.Second

// sum is a machine that adds up numbers and remembers padding, to make snapshots large.
type sum struct {
	total   uint64
	padding []byte
}

func (m *sum) Apply(_ uint64, command []byte) []byte {
	m.total += binary.LittleEndian.Uint64(command)
	if len(command) > 8 {
		m.padding = command[8:]
	}
	return binary.LittleEndian.AppendUint64(nil, m.total)
}

func (m *sum) Snapshot() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, m.total), m.padding...)
}

func (m *sum) Restore(snapshot []byte) error {
	m.total = binary.LittleEndian.Uint64(snapshot)
	m.padding = snapshot[8:]
	return nil
}

func number(n uint64) []byte { return binary.LittleEndian.AppendUint64(nil, n) }

// member is a replica with its directory, which may be opened again at the same address.
type member struct {
	directory    string
	self         view.Member
	transport    *peer.Transport
	machine      *sum
	node         *Node
	reconfigurer *Reconfigurer
	cancel       context.CancelFunc
	stopped      chan struct{}
	up           bool
}

// cluster is a chain that agrees on its own views, over loopback.
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
	c := &cluster{t: t, policy: policy}
	transports := make([]*peer.Transport, all)
	for i := range transports {
		transports[i] = c.listen(netip.MustParseAddrPort("127.0.0.1:0"))
		if i < seeds {
			c.seeds = append(c.seeds, transports[i].Address())
		}
	}
	for i := range transports {
		m := &member{directory: t.TempDir()}
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
	fileSystem := segment.OperatingSystem{}
	replica, _, err := view.LoadIdentity(fileSystem, m.directory)
	if err != nil {
		c.t.Fatal(err)
	}
	m.transport = transport
	m.self = view.Member{Replica: replica, Name: m.directory, Address: transport.Address()}
	m.machine = &sum{}
	m.node, err = Open(Options{
		Self:            m.self,
		Registry:        NewRegistry(transport, zap.NewNop()),
		FileSystem:      fileSystem,
		Directory:       m.directory + "/chain",
		Machine:         m.machine,
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

// reopen starts a replica again at its address.
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

// announce tells all replicas who is up.
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
	result, err := m.node.Propose(testContext(c.t), number(n))
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

// awaitView waits until a replica is in a view that is as wanted.
func (c *cluster) awaitView(m *member, wanted func(view.View) bool) {
	c.t.Helper()
	if err := m.node.wait(testContext(c.t), func() bool { return wanted(m.node.replica.view) }); err != nil {
		c.t.Fatalf("no such view: %v, %+v", err, m.node.View())
	}
}

func ofSize(size int) func(view.View) bool {
	return func(v view.View) bool { return len(v.Members) == size }
}

func TestFirstStartAndProposalsAtEachReplica(t *testing.T) {
	c := newCluster(t, 3, 3)
	want := uint64(0)
	for i, m := range c.members {
		want += uint64(i + 1)
		if got := c.propose(m, uint64(i+1)); got != want {
			t.Fatalf("sum is %d, want %d", got, want)
		}
	}
	for i, m := range c.members {
		if got := c.total(m); got != want {
			t.Fatalf("replica %d has %d, want %d", i, got, want)
		}
	}
}

func TestViewWithoutLostReplicaAndItsReturn(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 5)
	c.awaitView(c.members[0], ofSize(3))
	head, _ := c.members[0].node.View().Head()
	lost, other := c.members[0], c.members[1]
	for _, m := range c.members {
		if m.self.Replica == head.Replica {
			lost = m
		} else {
			other = m
		}
	}
	c.close(lost)
	c.announce()
	c.awaitView(other, ofSize(2))
	if got := c.propose(other, 6); got != 11 {
		t.Fatalf("sum is %d, want 11", got)
	}
	c.reopen(lost)
	c.announce()
	c.awaitView(lost, func(v view.View) bool { return v.Epoch > 2 && len(v.Members) == 3 && v.Has(lost.self.Replica) })
	if got := c.total(lost); got != 11 {
		t.Fatalf("the replica that returned has %d, want 11", got)
	}
}

func TestNewReplicaLearnsBySnapshot(t *testing.T) {
	c := newCluster(t, 3, 3)
	command := append(number(1), make([]byte, 700<<10)...)
	for range 8 {
		if _, err := c.members[1].node.Propose(testContext(t), command); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitView(c.members[2], ofSize(3))
	lost := c.members[2]
	c.close(lost)
	lost.directory = t.TempDir()
	lost.reconfigurer = nil
	c.reopen(lost)
	c.announce()
	c.awaitView(lost, func(v view.View) bool { return len(v.Members) == 3 && v.Has(lost.self.Replica) })
	if got := c.total(lost); got != 8 {
		t.Fatalf("the new replica has %d, want 8", got)
	}
	if got := c.propose(lost, 1); got != 9 {
		t.Fatalf("sum is %d, want 9", got)
	}
}

func TestAllKilledComeBack(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 7)
	c.awaitView(c.members[0], ofSize(3))
	for _, m := range c.members {
		c.close(m)
	}
	began := time.Now()
	for _, m := range c.members {
		c.reopen(m)
	}
	c.announce()
	if got := c.propose(c.members[1], 1); got != 8 {
		t.Fatalf("sum is %d, want 8", got)
	}
	t.Logf("writable after %v", time.Since(began))
}

func TestHandOver(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.propose(c.members[0], 7)
	c.awaitView(c.members[0], ofSize(3))
	leaving := c.members[0]
	if err := leaving.reconfigurer.HandOver(testContext(t)); err != nil {
		t.Fatal(err)
	}
	c.awaitView(c.members[1], func(v view.View) bool { return !v.Has(leaving.self.Replica) })
	if got := c.propose(leaving, 1); got != 8 {
		t.Fatalf("sum is %d, want 8", got)
	}
	c.close(leaving)
	c.announce()
	if got := c.propose(c.members[1], 1); got != 9 {
		t.Fatalf("sum is %d, want 9", got)
	}
}

func TestProposalWithoutSuccessorIsNotAppended(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 1)
	c.awaitView(c.members[0], ofSize(3))
	v := c.members[0].node.View()
	for _, m := range c.members {
		if m.self.Replica != v.Members[0].Replica {
			c.close(m)
		}
	}
	for _, m := range c.members {
		if !m.up {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if err := m.node.wait(ctx, func() bool { return !m.node.replica.headReady() }); err != nil {
			// Nothing was under way, so that the loss was not noticed: a proposal does.
			short, stop := context.WithTimeout(context.Background(), time.Second)
			_, err := m.node.Propose(short, number(1))
			stop()
			if fault.KindOf(err) != fault.Unclear {
				t.Fatalf("error is %v, want unclear", err)
			}
		}
		short, stop := context.WithTimeout(context.Background(), time.Second)
		_, err := m.node.Propose(short, number(1))
		stop()
		if fault.KindOf(err) != fault.NotReady {
			t.Fatalf("error is %v, want not ready", err)
		}
	}
}

func TestManyProposalsAtOnce(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 0)
	const count = 300
	results := make(chan error, count)
	for i := range count {
		m := c.members[i%len(c.members)]
		go func() {
			_, err := m.node.Propose(testContext(t), number(1))
			results <- err
		}()
	}
	for range count {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	if got := c.total(c.members[2]); got != count {
		t.Fatalf("sum is %d, want %d", got, count)
	}
}

func TestLargeCommands(t *testing.T) {
	c := newCluster(t, 3, 3)
	command := append(number(3), make([]byte, 4<<20)...)
	for _, m := range c.members {
		if _, err := m.node.Propose(testContext(t), command); err != nil {
			t.Fatal(err)
		}
	}
	tooLarge := make([]byte, segment.MaximumEntrySize+1)
	if _, err := c.members[0].node.Propose(testContext(t), tooLarge); fault.KindOf(err) != fault.BodyTooLarge {
		t.Fatalf("error is %v, want that the body is too large", err)
	}
	if got := c.total(c.members[1]); got != 9 {
		t.Fatalf("sum is %d, want 9", got)
	}
}
