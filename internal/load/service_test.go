package load

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/member"
	"nickelline/internal/peer"
)

// testPatience is more than any test takes, unless something hangs.
const testPatience = 10 * time.Second

// fakePool has some requests at one backend.
type fakePool struct {
	mutex  sync.Mutex
	own    int
	shared chan admission.BackendLoad
}

func (p *fakePool) Report(time.Time, bool) ([]admission.BackendLoad, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return []admission.BackendLoad{{Backend: 7, InFlight: p.own}}, true
}

func (p *fakePool) Share(_ time.Time, loads []admission.BackendLoad) {
	select {
	case p.shared <- loads[0]:
	default:
	}
}

// testNode is a process of a zone with a pool of one service.
type testNode struct {
	service   *Service
	pool      *fakePool
	transport *peer.Transport
}

// newNodes starts nodes that know each other. The first of them is the collector.
func newNodes(t *testing.T, zones ...string) []*testNode {
	t.Helper()
	var members []member.Member
	var nodes []*testNode
	var table *member.Table
	for i, zone := range zones {
		transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(transport.Close)
		role := "proxy"
		if i == 0 {
			role = "control"
		}
		members = append(members, member.Member{Role: role, Zone: zone, Address: transport.Address()})
		node := &testNode{
			transport: transport,
			pool:      &fakePool{own: i + 1, shared: make(chan admission.BackendLoad, 1)},
			service: New(Options{
				Zone: zone, Transport: transport, Members: func() *member.Table { return table },
				PreferredRole: "control", Log: zap.NewNop(),
			}),
		}
		node.service.AddPool("s", node.pool)
		nodes = append(nodes, node)
	}
	table = member.NewTable(members...)
	for _, node := range nodes {
		node.transport.Start()
	}
	return nodes
}

// refreshUntil asks again and again until the sum at the backend is as wanted: datagrams may be lost.
func (n *testNode) refreshUntil(t *testing.T, want int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	for ctx.Err() == nil {
		n.service.Refresh(ctx, "s")
		select {
		case l := <-n.pool.shared:
			if l.Backend == 7 && l.InFlight == want {
				return
			}
		default:
		}
	}
	t.Fatalf("in flight at the backend: want a sum of %d within the time", want)
}

func TestRefreshSumsAllNodes(t *testing.T) {
	nodes := newNodes(t, "a", "a", "a")
	nodes[1].refreshUntil(t, 2)
	nodes[2].refreshUntil(t, 5)
}

func TestAnnouncedRequestIsInTheNextRefresh(t *testing.T) {
	nodes := newNodes(t, "a", "a", "a")
	nodes[2].refreshUntil(t, 3)
	nodes[1].service.Announce("s")
	nodes[2].refreshUntil(t, 5)
}

func TestSumsCrossZones(t *testing.T) {
	nodes := newNodes(t, "a", "a", "b")
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	go nodes[2].service.Run(ctx) // the collector of its zone
	nodes[1].refreshUntil(t, 5)
}

func TestRefreshWithoutACollectorReturns(t *testing.T) {
	nodes := newNodes(t, "a", "a")
	nodes[0].transport.Close()
	for range 2 * maxUnanswered {
		nodes[1].service.Refresh(context.Background(), "s")
	}
	nodes[1].refreshUntil(t, 2) // the node itself is the next candidate
}

func TestRefreshOfUnknownServiceReturns(t *testing.T) {
	nodes := newNodes(t, "a")
	nodes[0].service.Refresh(context.Background(), "other")
	nodes[0].service.Announce("other")
}
