package member

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/peer"
)

const serviceTimeout = 20 * time.Second

// testProcess is a service with its own transport.
type testProcess struct {
	service   *Service
	transport *peer.Transport
	cancel    context.CancelFunc
	tables    chan *Table // holds the newest table only
}

func startProcess(t *testing.T, address netip.AddrPort, seeds []netip.AddrPort) *testProcess {
	t.Helper()
	transport, err := peer.Listen(address, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	self := Member{Name: fmt.Sprint("process at ", transport.Address()), Role: "proxy", Address: transport.Address()}
	service := New(self, seeds, transport, zap.NewNop())
	p := &testProcess{service: service, transport: transport, tables: make(chan *Table, 1)}
	service.OnChange(func(table *Table) {
		select {
		case <-p.tables:
		default:
		}
		p.tables <- table
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	transport.Start()
	service.Start(ctx)
	t.Cleanup(p.stop)
	return p
}

func (p *testProcess) stop() {
	p.cancel()
	p.transport.Close()
}

// waitForTable waits for a table that meets the condition, and fails the test if none comes in time.
func (p *testProcess) waitForTable(t *testing.T, what string, condition func(*Table) bool) {
	t.Helper()
	timeout := time.After(serviceTimeout)
	for !condition(p.service.Table()) {
		select {
		case <-p.tables:
		case <-timeout:
			t.Fatalf("timed out waiting for %q: got members %+v", what, p.service.Table().All())
		}
	}
}

func TestServicesJoinOverTheNetwork(t *testing.T) {
	const count = 5
	first := startProcess(t, netip.MustParseAddrPort("127.0.0.1:0"), nil)
	seeds := []netip.AddrPort{first.transport.Address()}
	processes := []*testProcess{first}
	for range count - 1 {
		processes = append(processes, startProcess(t, netip.MustParseAddrPort("127.0.0.1:0"), seeds))
	}
	for _, p := range processes {
		p.waitForTable(t, "all members known", func(table *Table) bool { return len(table.Running()) == count })
	}

	processes[1].service.UpdateSelf(func(m *Member) { m.Replica = 77 })
	processes[4].waitForTable(t, "update known", func(table *Table) bool {
		m, _ := table.Get(processes[1].transport.Address())
		return m.Replica == 77
	})

	ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	processes[2].service.Leave(ctx)
	if ctx.Err() != nil {
		t.Fatal("leave: got no confirmation in time, want one")
	}
	processes[2].stop()
	processes[3].waitForTable(t, "leave known", func(table *Table) bool {
		m, _ := table.Get(processes[2].transport.Address())
		return m.State == Left && len(table.Running()) == count-1
	})

	address := processes[4].transport.Address()
	before, _ := first.service.Table().Get(address)
	processes[4].stop()
	first.waitForTable(t, "death known", func(table *Table) bool {
		m, _ := table.Get(address)
		return m.State == Dead
	})
	startProcess(t, address, seeds)
	first.waitForTable(t, "restart known", func(table *Table) bool {
		m, _ := table.Get(address)
		return m.Running() && m.Generation != before.Generation
	})
}

func TestSubscriberMayUseTheService(t *testing.T) {
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	service := New(Member{Address: transport.Address()}, nil, transport, zap.NewNop())
	left := make(chan struct{})
	service.OnChange(func(table *Table) {
		self, _ := table.Get(transport.Address())
		switch {
		case self.State == Left:
			close(left)
		case self.Leaving:
			ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
			defer cancel()
			service.Leave(ctx)
		default:
			service.UpdateSelf(func(m *Member) { m.Leaving = true })
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	transport.Start()
	service.Start(ctx)
	select {
	case <-left:
	case <-time.After(serviceTimeout):
		t.Fatal("leave by a subscriber: timed out, want no deadlock between subscriber and service")
	}
}
