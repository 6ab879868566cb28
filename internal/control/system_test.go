package control

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/faultdisk"
	"nickelline/internal/member"
	"nickelline/internal/operator"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

const (
	testNodeCount = 3
	testTimeout   = 15 * time.Second
)

// controlSystem consists of testNodeCount control processes on different loopback addresses, with the same ports.
type controlSystem struct {
	t            *testing.T
	internalPort uint16
	operatorPort uint16
	directories  []string
	disks        []*faultdisk.Disk
	nodes        []*controlProcess
}

// controlProcess is a control role with the parts of a process that it needs.
type controlProcess struct {
	control        *Control
	transport      *peer.Transport
	stop           context.CancelFunc
	topic          *recordingTopic
	viewChanged    chan struct{} // a new view was installed
	members        *member.Service
	membersChanged chan struct{} // the table of members changed
}

func nodeAddress(node int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(node + 1)}) }

func newControlSystem(t *testing.T) *controlSystem {
	s := &controlSystem{t: t, internalPort: freePort(t), operatorPort: freePort(t)}
	for range testNodeCount {
		s.directories = append(s.directories, t.TempDir())
		s.disks = append(s.disks, faultdisk.New(segment.OSFileSystem{}))
		s.nodes = append(s.nodes, nil)
	}
	t.Cleanup(s.stopAll)
	return s
}

func (s *controlSystem) settings(node int, first bool) *settings.Settings {
	nodeSettings := &settings.Settings{
		NodeName:       fmt.Sprintf("f-%d", node+1),
		IP:             nodeAddress(node),
		Zone:           fmt.Sprintf("z-%d", node+1),
		InternalPorts:  []uint16{s.internalPort, s.internalPort + 2},
		InitialStart:   first,
		DataDirectory:  s.directories[node],
		HeartbeatMs:    400,
		FaultTolerance: settings.FaultTolerance{Machines: 1},
	}
	nodeSettings.Listen.ControlPlane = netip.AddrPortFrom(nodeAddress(node), s.operatorPort)
	for seed := range testNodeCount {
		nodeSettings.SeedNodes = append(nodeSettings.SeedNodes, netip.AddrPortFrom(nodeAddress(seed), s.operatorPort))
	}
	return nodeSettings
}

// start starts a node on its directory.
func (s *controlSystem) start(node int, first bool) {
	s.t.Helper()
	if err := s.open(node, first); err != nil {
		s.t.Fatal(err)
	}
}

// open starts a node on its directory, or returns the error of opening it.
func (s *controlSystem) open(node int, first bool) error { return s.openWaiting(node, first, nil) }

// openWaiting is open with a function that is called if the disk fails.
func (s *controlSystem) openWaiting(node int, first bool, awaitDisk func(error) bool) error {
	nodeSettings := s.settings(node, first)
	log := zap.NewNop()
	transport, err := peer.Listen(nodeSettings.ControlInternalAddress(nodeSettings.IP), log)
	if err != nil {
		return err
	}
	replica, _, err := view.LoadIdentity(segment.OSFileSystem{}, nodeSettings.DataDirectory)
	if err != nil {
		transport.Close()
		return err
	}
	members := member.New(member.Member{
		Name: nodeSettings.NodeName, Role: controlRole, Zone: nodeSettings.Zone, Address: transport.Address(),
		ControlPlane: nodeSettings.Listen.ControlPlane, Replica: uint64(replica),
	}, nodeSettings.SeedInternalAddresses(), transport, log)
	membersChanged := make(chan struct{}, 1)
	members.OnChange(func(*member.Table) { signal(membersChanged) })
	topic := newRecordingTopic()
	control, err := New(Options{
		Settings: nodeSettings, FileSystem: s.disks[node], Replica: replica, Transport: transport, Members: members,
		Configuration: topic, Placement: newRecordingTopic(), AwaitDisk: awaitDisk, Log: log,
	})
	if err != nil {
		transport.Close()
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	transport.Start()
	members.Start(ctx)
	control.Start()
	viewChanged := make(chan struct{}, 1)
	control.OnView(func(view.View, bool) { signal(viewChanged) })
	s.nodes[node] = &controlProcess{
		control: control, transport: transport, stop: stop, topic: topic, viewChanged: viewChanged, members: members, membersChanged: membersChanged,
	}
	return nil
}

// waitForFullView returns once the view at a node has all nodes as members. Before that, no other node may fail.
func (s *controlSystem) waitForFullView(node int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	p := s.nodes[node]
	for len(p.control.node.View().Members) < testNodeCount {
		select {
		case <-ctx.Done():
			s.t.Fatalf("got a view of %d nodes, want %d", len(p.control.node.View().Members), testNodeCount)
		case <-p.viewChanged:
		}
	}
}

// waitForAllMembers returns once a node lists all nodes as running. The chain may work before that.
func (s *controlSystem) waitForAllMembers(node int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	p := s.nodes[node]
	for len(p.members.Table().Running()) < testNodeCount {
		select {
		case <-ctx.Done():
			s.t.Fatalf("got %d running members, want %d", len(p.members.Table().Running()), testNodeCount)
		case <-p.membersChanged:
		}
	}
}

func (s *controlSystem) startAll(first bool) {
	for node := range s.nodes {
		s.start(node, first)
	}
}

// stop shuts a node down gracefully.
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

// kill stops a node without notice to the others: none of its later messages is delivered.
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

// operator returns an operator's client of the given nodes.
func (s *controlSystem) operator(nodes ...int) *operator.Client {
	s.t.Helper()
	var addresses []string
	for _, node := range nodes {
		addresses = append(addresses, netip.AddrPortFrom(nodeAddress(node), s.operatorPort).String())
	}
	client, err := operator.New(operator.Options{Nodes: addresses, Timeout: testTimeout})
	if err != nil {
		s.t.Fatal(err)
	}
	return client
}

func (s *controlSystem) put(node int, match, version uint64) {
	s.t.Helper()
	got, err := s.operator(node).Put(s.t.Context(), match, []byte(documentText(version, int(version))))
	if err != nil || got != version {
		s.t.Fatalf("node %d: got version %d, %v; want %d", node, got, err, version)
	}
}

func (s *controlSystem) expectVersion(node int, version uint64) {
	s.t.Helper()
	body, err := s.operator(node).Configuration(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	if !strings.Contains(string(body), fmt.Sprintf(`"version":%d`, version)) {
		s.t.Fatalf("node %d: got %s, want version %d", node, body, version)
	}
}

// headNode returns the node that considers itself the head.
func (s *controlSystem) headNode() int {
	for node, p := range s.nodes {
		if p != nil {
			if _, own := p.control.head(); own {
				return node
			}
		}
	}
	s.t.Fatal("got no head")
	return -1
}
