package store

import (
	"context"
	"fmt"
	"net/netip"
	"path"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/batch"
	"nickelline/internal/batchapi"
	"nickelline/internal/chain"
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/faultdisk"
	"nickelline/internal/peer"
	"nickelline/internal/placement"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

// cluster consists of stores on loopback with one partition, and a proxy's client of them.
type cluster struct {
	t       *testing.T
	fixture *fixture
	stores  []*testStore
	table   atomic.Pointer[placement.Table]
	client  *batchapi.Client
	route   *configuration.Route
}

type testStore struct {
	service   *Service
	transport *peer.Transport
	self      view.Member
	directory string
	disk      *faultdisk.Disk
}

func newCluster(t *testing.T, stores int) *cluster {
	t.Helper()
	c := &cluster{t: t, fixture: newFixture(t, 2)}
	c.route = c.fixture.configuration.RouteByName(testRoute)
	for i := range stores {
		c.stores = append(c.stores, &testStore{
			directory: t.TempDir(),
			disk:      faultdisk.New(segment.OSFileSystem{}),
			self:      view.Member{Replica: view.ReplicaID(i + 1), Name: fmt.Sprintf("store-%d", i), Zone: fmt.Sprintf("zone-%d", i)},
		})
		c.open(i, netip.MustParseAddrPort("127.0.0.1:0"))
	}
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	transport.Start()
	t.Cleanup(transport.Close)
	c.client = batchapi.New(batchapi.Options{Caller: transport, Locate: c.locate, Zone: "zone-1", QuotaOvershoot: 0.1})
	return c
}

func (c *cluster) locate(string) (view.View, bool) {
	table := c.table.Load()
	if table == nil {
		return view.View{}, false
	}
	return table.Partitions[0].View, true
}

// open starts a store on its data directory, with the files of its earlier runs.
func (c *cluster) open(i int, address netip.AddrPort) {
	c.t.Helper()
	if err := c.tryOpen(i, address); err != nil {
		c.t.Fatal(err)
	}
}

// tryOpen is open, but returns the error.
func (c *cluster) tryOpen(i int, address netip.AddrPort) error {
	s := c.stores[i]
	transport, err := peer.Listen(address, zap.NewNop())
	if err != nil {
		return err
	}
	s.transport = transport
	s.self.Address = transport.Address()
	s.service, err = New(Options{
		Self:            s.self,
		Transport:       transport,
		Dispatcher:      chain.NewDispatcher(transport, zap.NewNop()),
		FileSystem:      s.disk,
		Directory:       path.Join(s.directory, "store"),
		MinimumReplicas: 2,
		Bounds:          settings.Bounds{CancellationMs: 3000, SettlementMs: 1000, StatusIntervalS: 120},
		MemoryMB:        344,
		Admission:       c.fixture.admission,
		Sender:          c.fixture.config.sender,
		Configuration:   c.fixture.configured,
		ControlNodes:    func() []netip.AddrPort { return nil },
		ReportInterval:  time.Second,
		Log:             zap.NewNop(),
	})
	if err != nil {
		transport.Close()
		return err
	}
	transport.Start()
	c.t.Cleanup(func() { c.close(i) })
	return nil
}

func (c *cluster) close(i int) {
	s := c.stores[i]
	if s.service == nil {
		return
	}
	s.service.Close()
	s.transport.Close()
	s.service = nil
}

// place applies a placement of the partition with the given stores as members and as learners.
func (c *cluster) place(epoch uint64, members []int, learners []int) {
	placed := placement.Partition{View: view.View{Chain: placement.ChainOf(0), Epoch: epoch}}
	for _, i := range members {
		member := c.stores[i].self
		member.Joined = c.joined(i, epoch)
		placed.View.Members = append(placed.View.Members, member)
	}
	for _, i := range learners {
		placed.Learners = append(placed.Learners, c.stores[i].self)
	}
	table := &placement.Table{Version: epoch, Partitions: []placement.Partition{placed}}
	c.table.Store(table)
	for _, s := range c.stores {
		if s.service != nil {
			s.service.SetPlacement(table)
		}
	}
}

// joined returns the epoch since which a store has been a member.
func (c *cluster) joined(i int, epoch uint64) uint64 {
	former := c.table.Load()
	if former == nil {
		return epoch
	}
	if member, ok := former.Partitions[0].View.Member(c.stores[i].self.Replica); ok {
		return member.Joined
	}
	return epoch
}

// submission returns the document with which a client submits a job.
func submission(job batch.Job) []byte {
	var items []string
	for _, item := range job.Items {
		items = append(items, fmt.Sprintf(`{"identifier":%q,"path":%q,"headers":{"X-Events":%q},"body":"Ym9keQ==","tokenCount":10}`,
			item.Identifier, item.Path, item.Headers[0].Value))
	}
	return []byte(`{"batchItems":[` + strings.Join(items, ",") + `]}`)
}

// submit submits a job, and retries until that succeeds.
func (c *cluster) submit(job batch.Job) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		err := c.client.Submit(ctx, job.Key.Tenant, c.route, job.Key.Identifier, submission(job))
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			c.t.Fatal(err)
		}
	}
}

// results reads all results of a job, and waits until they are listed.
func (c *cluster) results(job batch.Job) []batch.ListedResult {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var all []batch.ListedResult
	for len(all) < len(job.Items) {
		page, err := c.client.Results(ctx, job.Key.Tenant, job.Key.Identifier, len(all), time.Second)
		if ctx.Err() != nil {
			c.t.Fatalf("results: got %d, want %d: %v", len(all), len(job.Items), err)
		}
		if err == nil {
			all = append(all, page.Results...)
		} else if fault.KindOf(err) != fault.NotReady {
			c.t.Fatal(err)
		}
	}
	return all
}

// checkCompleted fails unless all items were completed with the text of the given number of events.
func (c *cluster) checkCompleted(results []batch.ListedResult, events int) {
	c.t.Helper()
	for _, result := range results {
		checkCompleted(c.t, result, events)
	}
}

// checkUnchanged fails unless the results of a job are equal to those of an earlier read, at the same positions.
func (c *cluster) checkUnchanged(job batch.Job, before []batch.ListedResult) {
	c.t.Helper()
	for i, result := range c.results(job) {
		if got, want := result.Identifier, before[i].Identifier; got != want {
			c.t.Errorf("position %d: got item %s, want %s", i, got, want)
		}
		if got, want := string(result.Content), string(before[i].Content); got != want {
			c.t.Errorf("position %d: got %q, want %q", i, got, want)
		}
	}
}

// setRefused makes admission refuse all items, or admit them again.
func (c *cluster) setRefused(refused bool) {
	c.fixture.admission.set(func(a *fakeAdmission) { a.refuse = refused })
}
