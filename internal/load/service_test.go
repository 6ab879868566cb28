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

// testTimeout is longer than any test takes unless it hangs.
const testTimeout = 10 * time.Second

// fakePool is a pool with requests at backend 7.
type fakePool struct {
	mutex  sync.Mutex
	own    int                        // requests of this node
	totals chan admission.BackendLoad // totals that were set
}

func (p *fakePool) LocalLoads(time.Time, bool) ([]admission.BackendLoad, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return []admission.BackendLoad{{Backend: 7, InFlight: p.own}}, true
}

func (p *fakePool) SetTotalLoads(_ time.Time, loads []admission.BackendLoad) {
	select {
	case p.totals <- loads[0]:
	default:
	}
}

// testNode is a process with a pool of one service.
type testNode struct {
	service   *Service
	pool      *fakePool
	transport *peer.Transport
}

// newNodes starts one node for each of the zones, all with the same membership table. The first node is the preferred
// collector of its zone, and node i has i+1 requests in flight.
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
			pool:      &fakePool{own: i + 1, totals: make(chan admission.BackendLoad, 1)},
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

// refreshUntil calls Refresh until the total at the backend is as wanted. It retries since datagrams may be lost.
func (n *testNode) refreshUntil(t *testing.T, want int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		n.service.Refresh(ctx, "s")
		select {
		case l := <-n.pool.totals:
			if l.Backend == 7 && l.InFlight == want {
				return
			}
		default:
		}
	}
	t.Fatalf("requests in flight at the backend: got no total of %d within %v", want, testTimeout)
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go nodes[2].service.Run(ctx) // the only node of its zone, so its collector
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
