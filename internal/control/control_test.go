package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/member"
	"nickelline/internal/operator"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

const (
	testControls = 3
	testCalls    = 15 * time.Second
)

// controlSystem is a few control processes on loopback addresses of one port each.
type controlSystem struct {
	t            *testing.T
	internalPort uint16
	operatorPort uint16
	directories  []string
	nodes        []*controlProcess
}

// controlProcess is a control role with what it needs of its process.
type controlProcess struct {
	control   *Control
	transport *peer.Transport
	stop      context.CancelFunc
	topic     *recordingTopic
	viewed    chan struct{} // a view came into force
	members   *member.Service
	met       chan struct{} // the table of members changed
}

// recordingTopic notes the newest version and proof.
type recordingTopic struct {
	mutex     sync.Mutex
	published uint64
	certified uint64
	changed   chan struct{}
}

func newRecordingTopic() *recordingTopic { return &recordingTopic{changed: make(chan struct{}, 1)} }

func (r *recordingTopic) Publish(sequence uint64, _ []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.published = max(r.published, sequence)
}

func (r *recordingTopic) Certify(sequence uint64, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.certified = max(r.certified, sequence)
	signal(r.changed)
}

// wait returns once a version is certified.
func (r *recordingTopic) wait(t *testing.T, sequence uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testCalls)
	defer cancel()
	for {
		r.mutex.Lock()
		certified, published := r.certified, r.published
		r.mutex.Unlock()
		if certified >= sequence {
			if published < sequence {
				t.Errorf("version %d is certified, but only %d was published", certified, published)
			}
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("version %d is not certified, only %d", sequence, certified)
		case <-r.changed:
		}
	}
}

// freePort finds a port that is free on all addresses of the system, among those that no connection is given by itself.
func freePort(t *testing.T) uint16 {
	t.Helper()
	const first, count, tries = 20000, 12000, 100
	for range tries {
		if port := uint16(first + rand.IntN(count)); portIsFree(port) {
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

func portIsFree(port uint16) bool {
	for node := range testControls {
		address := netip.AddrPortFrom(nodeAddress(node), port)
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			return false
		}
		packets, err := net.ListenPacket("udp4", address.String())
		_ = listener.Close()
		if err != nil {
			return false
		}
		_ = packets.Close()
	}
	return true
}

func nodeAddress(node int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(node + 1)}) }

func newControlSystem(t *testing.T) *controlSystem {
	s := &controlSystem{t: t, internalPort: freePort(t), operatorPort: freePort(t)}
	for range testControls {
		s.directories = append(s.directories, t.TempDir())
		s.nodes = append(s.nodes, nil)
	}
	t.Cleanup(s.stopAll)
	return s
}

func (s *controlSystem) settings(node int, first bool) *settings.Settings {
	read := &settings.Settings{
		NodeName:       fmt.Sprintf("f-%d", node+1),
		IP:             nodeAddress(node),
		Zone:           fmt.Sprintf("z-%d", node+1),
		InternalPorts:  []uint16{s.internalPort, s.internalPort + 2},
		InitialStart:   first,
		DataDirectory:  s.directories[node],
		HeartbeatMs:    400,
		FaultTolerance: settings.FaultTolerance{Machines: 1},
	}
	read.Listen.ControlPlane = netip.AddrPortFrom(nodeAddress(node), s.operatorPort)
	for seed := range testControls {
		read.SeedNodes = append(read.SeedNodes, netip.AddrPortFrom(nodeAddress(seed), s.operatorPort))
	}
	return read
}

// start runs a node on its directory.
func (s *controlSystem) start(node int, first bool) {
	s.t.Helper()
	if err := s.open(node, first); err != nil {
		s.t.Fatal(err)
	}
}

// open runs a node on its directory, if it can be opened.
func (s *controlSystem) open(node int, first bool) error {
	read := s.settings(node, first)
	log := zap.NewNop()
	transport, err := peer.Listen(read.ControlInternal(read.IP), log)
	if err != nil {
		return err
	}
	replica, _, err := view.LoadIdentity(segment.OperatingSystem{}, read.DataDirectory)
	if err != nil {
		transport.Close()
		return err
	}
	members := member.New(member.Member{
		Name: read.NodeName, Role: controlRole, Zone: read.Zone, Address: transport.Address(),
		ControlPlane: read.Listen.ControlPlane, Replica: uint64(replica),
	}, read.SeedInternal(), transport, log)
	met := make(chan struct{}, 1)
	members.OnChange(func(*member.Table) { signal(met) })
	topic := newRecordingTopic()
	control, err := New(Options{
		Settings: read, FileSystem: segment.OperatingSystem{}, Replica: replica, Transport: transport, Members: members,
		Configuration: topic, Placement: newRecordingTopic(), Log: log,
	})
	if err != nil {
		transport.Close()
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	transport.Start()
	members.Start(ctx)
	control.Start()
	viewed := make(chan struct{}, 1)
	control.OnView(func(view.View, bool) { signal(viewed) })
	s.nodes[node] = &controlProcess{
		control: control, transport: transport, stop: stop, topic: topic, viewed: viewed, members: members, met: met,
	}
	return nil
}

// waitForAll returns once the view at a node names all nodes: before that another one must not be lost.
func (s *controlSystem) waitForAll(node int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testCalls)
	defer cancel()
	p := s.nodes[node]
	for len(p.control.node.View().Members) < testControls {
		select {
		case <-ctx.Done():
			s.t.Fatalf("the view names %d nodes", len(p.control.node.View().Members))
		case <-p.viewed:
		}
	}
}

// waitForMembers returns once a node knows all nodes as members: the chain may work before.
func (s *controlSystem) waitForMembers(node int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testCalls)
	defer cancel()
	p := s.nodes[node]
	for len(p.members.Table().Alive()) < testControls {
		select {
		case <-ctx.Done():
			s.t.Fatalf("%d members are known", len(p.members.Table().Alive()))
		case <-p.met:
		}
	}
}

func (s *controlSystem) startAll(first bool) {
	for node := range s.nodes {
		s.start(node, first)
	}
}

// stop ends a node in order.
func (s *controlSystem) stop(node int) {
	p := s.nodes[node]
	if p == nil {
		return
	}
	s.nodes[node] = nil
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	p.control.Stop(ctx)
	p.stop()
	p.transport.Close()
}

// kill ends a node without a word to the others: what it says from now on is lost.
func (s *controlSystem) kill(node int) {
	p := s.nodes[node]
	if p == nil {
		return
	}
	s.nodes[node] = nil
	p.stop()
	p.transport.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	p.control.Stop(ended)
}

func (s *controlSystem) stopAll() {
	for node := range s.nodes {
		s.kill(node)
	}
}

// operator makes a client that calls one node first.
func (s *controlSystem) operator(nodes ...int) *operator.Client {
	s.t.Helper()
	var addresses []string
	for _, node := range nodes {
		addresses = append(addresses, netip.AddrPortFrom(nodeAddress(node), s.operatorPort).String())
	}
	client, err := operator.New(operator.Options{Nodes: addresses, Timeout: testCalls})
	if err != nil {
		s.t.Fatal(err)
	}
	return client
}

func (s *controlSystem) put(node int, match, version uint64) {
	s.t.Helper()
	got, err := s.operator(node).Put(s.t.Context(), match, []byte(documentText(version, int(version))))
	if err != nil || got != version {
		s.t.Fatalf("node %d: version %d, %v", node, got, err)
	}
}

func (s *controlSystem) expectVersion(node int, version uint64) {
	s.t.Helper()
	body, err := s.operator(node).Configuration(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	if !strings.Contains(string(body), fmt.Sprintf(`"version":%d`, version)) {
		s.t.Fatalf("node %d has %s in place of version %d", node, body, version)
	}
}

// headNode gives the node that takes itself for the head.
func (s *controlSystem) headNode() int {
	for node, p := range s.nodes {
		if p != nil {
			if _, own := p.control.head(); own {
				return node
			}
		}
	}
	s.t.Fatal("no node is the head")
	return -1
}

func TestControlSystem(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	s.expectVersion(2, 3)
	s.put(1, 3, 5)
	for node := range s.nodes {
		s.expectVersion(node, 5)
		s.nodes[node].topic.wait(t, 5)
	}
	if version, err := s.operator(2).Put(t.Context(), 0, []byte(documentText(3, 3))); err != nil || version != 5 {
		t.Errorf("an order that was taken is not acknowledged again: %d, %v", version, err)
	}
	if _, err := s.operator(2).Put(t.Context(), 3, []byte(documentText(7, 9))); err == nil || !strings.Contains(err.Error(), "412") {
		t.Errorf("an order on an old version: %v", err)
	}
}

func TestControlSystemGoesOnWithoutAnyNode(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	version := uint64(0)
	for _, end := range []func(int){s.stop, s.kill} {
		s.put(0, version, version+1)
		head := s.headNode()
		end(head)
		other := (head + 1) % testControls
		s.put(other, version+1, version+2)
		s.expectVersion((head+2)%testControls, version+2)
		s.start(head, false)
		s.expectVersion(head, version+2)
		s.waitForAll(head)
		version += 2
		s.put(head, version, version+1)
		version++
	}
}

func TestControlSystemComesBackFromDisk(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	s.stopAll()
	s.startAll(false)
	for node := range s.nodes {
		s.expectVersion(node, 3)
	}
	s.put(2, 3, 4)
}

func TestNodeWithoutDiskSendsTheOperatorOn(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	listener, err := listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	other := func() (netip.AddrPort, bool) { return netip.AddrPortFrom(nodeAddress(1), s.operatorPort), true }
	a := newAPI(listener, nil, s.nodes[0].control.Status, other)
	go func() { _ = a.run() }()
	defer a.stop()
	client, err := operator.New(operator.Options{Nodes: []string{listener.Addr().String()}, Timeout: testCalls})
	if err != nil {
		t.Fatal(err)
	}
	if version, err := client.Patch(t.Context(), 3, []byte(patchText(4, 20))); err != nil || version != 4 {
		t.Errorf("version %d, %v", version, err)
	}
	s.waitForMembers(0)
	status, err := client.Status(t.Context())
	if err != nil || status.Node != "f-1" || len(status.Chain.Replicas) == 0 || len(status.Members) != testControls {
		t.Errorf("%+v, %v", status, err)
	}
	if len(status.Chain.Voters) != testControls {
		t.Errorf("%d nodes vote", len(status.Chain.Voters))
	}
}

// TestLargeOrderOverTheChain sends a configuration of a megabyte to a node that is not the head.
func TestLargeOrderOverTheChain(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	other := (s.headNode() + 1) % testControls
	padding := strings.Repeat("x", 1<<20)
	body := fmt.Sprintf(`%s,"padding":%q}`, strings.TrimSuffix(documentText(5, 5), "}"), padding)
	if version, err := s.operator(other).Put(t.Context(), 3, []byte(body)); err != nil || version != 5 {
		t.Fatalf("version %d, %v", version, err)
	}
	for node := range s.nodes {
		read, err := s.operator(node).Configuration(t.Context())
		if err != nil || !strings.Contains(string(read), padding) {
			t.Fatalf("node %d: %d bytes, %v", node, len(read), err)
		}
	}
	s.stopAll()
	s.startAll(false)
	s.expectVersion(other, 5)
}

// TestOperatorsRace has two operators change the configuration at the same time, through different nodes.
func TestOperatorsRace(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 1)
	for version := uint64(1); version < 6; version++ {
		results := make(chan error, testControls)
		for node := range testControls {
			go func() {
				_, err := s.operator(node).Put(t.Context(), version, []byte(documentText(version+1, 100+node)))
				results <- err
			}()
		}
		won := 0
		for range testControls {
			err := <-results
			var refused *operator.RefusedError
			switch {
			case err == nil:
				won++
			case !errors.As(err, &refused) || refused.Status != http.StatusPreconditionFailed:
				t.Errorf("got %v", err)
			}
		}
		if won != 1 {
			t.Fatalf("%d of %d orders on version %d were taken", won, testControls, version)
		}
	}
}
