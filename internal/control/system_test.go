package control

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
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
	control        *Control
	transport      *peer.Transport
	stop           context.CancelFunc
	topic          *recordingTopic
	viewChanged    chan struct{} // a view came into force
	members        *member.Service
	membersChanged chan struct{} // the table of members changed
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
		control: control, transport: transport, stop: stop, topic: topic, viewChanged: viewed, members: members, membersChanged: met,
	}
	return nil
}

// waitForFullView returns once the view at a node names all nodes: before that another one must not be lost.
func (s *controlSystem) waitForFullView(node int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testCalls)
	defer cancel()
	p := s.nodes[node]
	for len(p.control.node.View().Members) < testControls {
		select {
		case <-ctx.Done():
			s.t.Fatalf("got a view of %d nodes, want %d", len(p.control.node.View().Members), testControls)
		case <-p.viewChanged:
		}
	}
}

// waitForAllMembers returns once a node knows all nodes as members: the chain may work before.
func (s *controlSystem) waitForAllMembers(node int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testCalls)
	defer cancel()
	p := s.nodes[node]
	for len(p.members.Table().Alive()) < testControls {
		select {
		case <-ctx.Done():
			s.t.Fatalf("got %d alive members, want %d", len(p.members.Table().Alive()), testControls)
		case <-p.membersChanged:
		}
	}
}

func (s *controlSystem) startAll(first bool) {
	for node := range s.nodes {
		s.start(node, first)
	}
}

// stop shuts a node down.
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

// kill ends a node without notice to the others: nothing that it sends from now on arrives.
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

// operator returns a client of some nodes.
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
