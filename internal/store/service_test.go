package store

import (
	"context"
	"fmt"
	"net/http"
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
	"nickelline/internal/peer"
	"nickelline/internal/placement"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

// cluster is some stores on loopback with one partition, and the proxy's side of them.
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
}

func newCluster(t *testing.T, stores int) *cluster {
	c := &cluster{t: t, fixture: newFixture(t, 2)}
	c.route = c.fixture.configuration.RouteByName(testRoute)
	for i := range stores {
		c.stores = append(c.stores, &testStore{
			directory: t.TempDir(),
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

// open starts a store, on the disk that it had before if it was open.
func (c *cluster) open(i int, address netip.AddrPort) {
	c.t.Helper()
	if err := c.tryOpen(i, address); err != nil {
		c.t.Fatal(err)
	}
}

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
		Registry:        chain.NewRegistry(transport, zap.NewNop()),
		FileSystem:      segment.OperatingSystem{},
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

// place gives the partition to some stores, with others that learn.
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

// joined is the epoch since which a store has been a member.
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

func submission(job batch.Job) []byte {
	var items []string
	for _, item := range job.Items {
		items = append(items, fmt.Sprintf(`{"identifier":%q,"path":%q,"headers":{"X-Events":%q},"body":"Ym9keQ==","tokenCount":10}`,
			item.Identifier, item.Path, item.Headers[0].Value))
	}
	return []byte(`{"batchItems":[` + strings.Join(items, ",") + `]}`)
}

func (c *cluster) submit(job batch.Job) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// results reads until all results of a job are there.
func (c *cluster) results(job batch.Job) []batch.ListedResult {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var all []batch.ListedResult
	for len(all) < len(job.Items) {
		page, err := c.client.Results(ctx, job.Key.Tenant, job.Key.Identifier, len(all), time.Second)
		if ctx.Err() != nil {
			c.t.Fatalf("%d results of %d: %v", len(all), len(job.Items), err)
		}
		if err == nil {
			all = append(all, page.Results...)
		} else if fault.KindOf(err) != fault.NotReady {
			c.t.Fatal(err)
		}
	}
	return all
}

func (c *cluster) check(results []batch.ListedResult, events int) {
	c.t.Helper()
	for _, result := range results {
		if result.State != batch.Completed || string(result.Content) != wantText(result.Identifier, events) {
			c.t.Errorf("%s: state %d, %q", result.Identifier, result.State, result.Content)
		}
	}
}

func TestJobsAreServedThroughAnyReplica(t *testing.T) {
	c := newCluster(t, 3)
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 30, 4)
	c.submit(job)
	c.submit(job)
	results := c.results(job)
	c.check(results, 4)
	if len(results) != 30 {
		t.Errorf("%d results", len(results))
	}
	ctx := context.Background()
	if _, err := c.client.Results(ctx, testTenant, "no such job", 0, 0); fault.KindOf(err) != fault.NotFound {
		t.Error(err)
	}
	if _, err := c.client.ItemBody(ctx, testTenant, job.Key.Identifier, job.Items[0].Identifier); fault.KindOf(err) != fault.NotFound {
		t.Error(err)
	}
}

func TestJobsSurviveTheLossOfTheHead(t *testing.T) {
	c := newCluster(t, 3)
	c.fixture.admission.refuse = true
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 30, 4)
	c.submit(job)
	body, err := c.client.ItemBody(context.Background(), testTenant, job.Key.Identifier, job.Items[3].Identifier)
	if err != nil || string(body) != "body" {
		t.Errorf("%q, %v", body, err)
	}
	c.close(0)
	c.place(2, []int{1, 2}, nil)
	c.fixture.admission.set(func(a *fixedAdmission) { a.refuse = false })
	before := c.results(job)
	c.check(before, 4)
	second := testJob(testKey(2), 5, 2)
	c.submit(second)
	c.check(c.results(second), 2)
	for i, result := range c.results(job) {
		if result.Identifier != before[i].Identifier {
			t.Errorf("position %d changed", i)
		}
	}
}

func TestRunningItemsRunAgainAtTheNextHead(t *testing.T) {
	c := newCluster(t, 3)
	started, release := make(chan struct{}, 100), make(chan struct{})
	for _, b := range c.fixture.backends {
		b.beforeEvent = func(r *http.Request, id int) bool {
			if id < 3 {
				return true
			}
			started <- struct{}{}
			select {
			case <-release:
				return true
			case <-r.Context().Done():
				return false
			}
		}
	}
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 5, 4)
	c.submit(job)
	for range job.Items {
		receive(t, started)
	}
	c.close(0)
	c.place(2, []int{2, 1}, nil)
	for range job.Items {
		receive(t, started)
	}
	close(release)
	c.check(c.results(job), 4)
	c.fixture.eventually("no attempt is left", func() bool {
		left := 0
		c.fixture.admission.set(func(a *fixedAdmission) { left = a.tickets })
		return left == 0
	})
}

func TestJobsSurviveTheRestartOfAllStores(t *testing.T) {
	c := newCluster(t, 2)
	c.place(1, []int{0, 1}, nil)
	job := testJob(testKey(1), 10, 3)
	c.submit(job)
	before := c.results(job)
	c.fixture.admission.set(func(a *fixedAdmission) { a.refuse = true })
	second := testJob(testKey(2), 10, 3)
	c.submit(second)
	c.close(0)
	c.close(1)
	c.fixture.admission.set(func(a *fixedAdmission) { a.refuse = false })
	c.open(0, c.stores[0].self.Address)
	c.open(1, c.stores[1].self.Address)
	c.check(c.results(second), 3)
	for i, result := range c.results(job) {
		if result.Identifier != before[i].Identifier || string(result.Content) != string(before[i].Content) {
			t.Errorf("position %d changed", i)
		}
	}
}

func TestLearnerTakesOverAndFormerMemberDropsItsLog(t *testing.T) {
	c := newCluster(t, 3)
	c.place(1, []int{0, 1}, nil)
	job := testJob(testKey(1), 10, 3)
	c.submit(job)
	before := c.results(job)
	c.place(1, []int{0, 1}, []int{2})
	c.fixture.eventually("the learner has caught up", func() bool {
		report := c.stores[2].service.currentReport()
		return len(report.Chains) == 1 && report.Chains[0].CaughtUp
	})
	c.place(2, []int{1, 2}, nil)
	second := testJob(testKey(2), 10, 3)
	c.submit(second)
	c.check(c.results(second), 3)
	c.fixture.eventually("the former member keeps no partition", func() bool {
		return len(c.stores[0].service.currentReport().Chains) == 0
	})
	names, err := segment.OperatingSystem{}.List(path.Join(c.stores[0].service.directoryOf(1), chain.LogDirectory))
	if err != nil || len(names) != 0 {
		t.Errorf("files left: %v, %v", names, err)
	}
	c.close(1)
	c.place(3, []int{2}, nil) // below the minimum: nothing is taken, but what is there is known
	c.close(2)
	c.open(1, c.stores[1].self.Address)
	c.open(2, c.stores[2].self.Address)
	c.place(4, []int{2, 1}, nil)
	for i, result := range c.results(job) {
		if result.Identifier != before[i].Identifier {
			t.Errorf("position %d changed", i)
		}
	}
}

func TestEndedJobDoesNotRun(t *testing.T) {
	c := newCluster(t, 2)
	c.fixture.admission.refuse = true
	c.place(1, []int{0, 1}, nil)
	job := testJob(testKey(1), 10, 3)
	c.submit(job)
	if err := c.client.End(context.Background(), testTenant, job.Key.Identifier); err != nil {
		t.Fatal(err)
	}
	c.fixture.admission.set(func(a *fixedAdmission) { a.refuse = false })
	second := testJob(testKey(2), 3, 3)
	c.submit(second)
	c.check(c.results(second), 3)
	if runs := len(c.fixture.backends[0].seen()) + len(c.fixture.backends[1].seen()); runs != 3 {
		t.Errorf("%d runs of 3 items", runs)
	}
	page, err := c.client.Results(context.Background(), testTenant, job.Key.Identifier, 0, 0)
	if err != nil || page.Total != 10 || len(page.Results) != 0 {
		t.Errorf("%+v, %v", page, err)
	}
}
