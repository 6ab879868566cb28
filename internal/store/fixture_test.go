package store

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
	"nickelline/internal/store/scheduler"
	"nickelline/internal/view"
)

const (
	testTenant  = "acme"
	testHost    = "a.example"
	testRoute   = "reports"
	testPrefix  = "/reports/"
	testService = "writers"
	// patience bounds every wait of a test.
	patience = 20 * time.Second
)

// fakeReplica is a chain of one replica that commits at once.
type fakeReplica struct {
	mutex    sync.Mutex
	state    *state
	sequence uint64
	head     bool
	barrier  error // what a barrier returns
	propose  error // what a proposal returns instead of being committed
	commits  int
	// beforeAppend is called before results are committed.
	beforeAppend func(ctx context.Context)
	unclear      int // how many commits of results are answered as of unknown fate
}

func (f *fakeReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if decoded, err := batch.DecodeCommand(command); err == nil && decoded.Append != nil && f.beforeAppend != nil {
		f.beforeAppend(ctx)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.propose != nil {
		return nil, f.propose
	}
	f.sequence++
	f.commits++
	outcome := f.state.Apply(f.sequence, command)
	if decoded, err := batch.DecodeCommand(command); err == nil && decoded.Append != nil && f.unclear > 0 {
		f.unclear--
		return nil, errTestUnclear
	}
	return outcome, nil
}

func (f *fakeReplica) Barrier(context.Context) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.barrier
}

func (f *fakeReplica) IsHead() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.head
}

func (f *fakeReplica) View() view.View {
	return view.View{Chain: 1, Epoch: 4, Members: []view.Member{{Replica: 9, Address: netip.MustParseAddrPort("10.0.0.9:1")}}}
}

func (f *fakeReplica) set(change func(*fakeReplica)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

func newTestPartition() (*partition, *fakeReplica) {
	p := &partition{number: 1, state: newState(), clock: newHeadClock(), readConfirmationAge: time.Second}
	replica := &fakeReplica{state: p.state, head: true}
	p.replica = replica
	return p, replica
}

func testKey(n int) batch.Key {
	return batch.Key{Tenant: testTenant, Identifier: fmt.Sprintf("job-%d", n)}
}

// testJob makes a job whose items ask the stand-in for some events each.
func testJob(key batch.Key, items, events int) batch.Job {
	job := batch.Job{Key: key, Route: testRoute, Host: testHost}
	for i := range items {
		job.Items = append(job.Items, batch.Item{
			Identifier: fmt.Sprintf("%s-%s-%d", key.Tenant, key.Identifier, i),
			Path:       fmt.Sprintf("%s%d?x=%d", testPrefix, i, i),
			Headers:    []batch.Header{{Name: "X-Events", Value: strconv.Itoa(events)}},
			Body:       []byte(fmt.Sprintf("body %d", i)),
			Tokens:     10,
		})
	}
	return job
}

// wantText is what the stand-in says for an item.
func wantText(attempt string, events int) string {
	var lines []string
	for id := 1; id <= events; id++ {
		lines = append(lines, eventData(attempt, id))
	}
	return strings.Join(lines, "\n")
}

func eventData(attempt string, id int) string { return fmt.Sprintf("%s event %d", attempt, id) }

// backend is a stand-in that streams events. Before each of them it may be told to do something else.
type backend struct {
	mutex sync.Mutex
	// before is called with each request, and answers it by itself if it returns true.
	before func(w http.ResponseWriter, r *http.Request) bool
	// beforeEvent is called before each event. An event for which it is false breaks the stream off.
	beforeEvent func(r *http.Request, id int) bool
	quiet       bool // keep no requests
	requests    []*http.Request
	bodies      []string
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mutex.Lock()
	if !b.quiet {
		b.requests = append(b.requests, r)
		b.bodies = append(b.bodies, string(body))
	}
	before, beforeEvent := b.before, b.beforeEvent
	b.mutex.Unlock()
	attempt := r.Header.Get(forward.HeaderAttemptID)
	w.Header().Set(forward.HeaderAttemptID, attempt)
	if before != nil && before(w, r) {
		return
	}
	w.Header().Set("Content-Type", forward.EventStream)
	events, _ := strconv.Atoi(r.Header.Get("X-Events"))
	last, _ := strconv.Atoi(r.Header.Get(forward.HeaderLastEventID))
	for id := last + 1; id <= events; id++ {
		if beforeEvent != nil && !beforeEvent(r, id) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, eventData(attempt, id))
		http.NewResponseController(w).Flush()
	}
}

func (b *backend) seen() []*http.Request {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]*http.Request(nil), b.requests...)
}

// fixedAdmission admits everything to one backend until it is told to refuse.
type fixedAdmission struct {
	mutex    sync.Mutex
	backends []discovery.Backend
	turn     int
	refuse   bool
	refused  int
	tickets  int // that are not done
	most     int
	outcomes []admission.Outcome
	started  int
}

func (f *fixedAdmission) Pick(service string, _ time.Time, r admission.Request) (discovery.Backend, Permit, *admission.Refusal) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if service != testService || !r.Batch || f.refuse {
		f.refused++
		return discovery.Backend{}, nil, &admission.Refusal{RetryAfter: time.Millisecond}
	}
	f.tickets++
	f.most = max(f.most, f.tickets)
	f.turn++
	return f.backends[f.turn%len(f.backends)], &fixedPermit{admission: f}, nil
}

func (f *fixedAdmission) set(change func(*fixedAdmission)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

type fixedPermit struct{ admission *fixedAdmission }

func (p *fixedPermit) Started(time.Time) {
	p.admission.set(func(f *fixedAdmission) { f.started++ })
}

func (p *fixedPermit) Done(_ time.Time, outcome admission.Outcome, _ *admission.Load) {
	p.admission.set(func(f *fixedAdmission) {
		f.tickets--
		f.outcomes = append(f.outcomes, outcome)
	})
}

// fixture is a runner before stand-in backends.
type fixture struct {
	t         testing.TB
	partition *partition
	replica   *fakeReplica
	admission *fixedAdmission
	backends  []*backend
	config    *runnerConfig
	runner    *runner
	stop      func()

	mutex         sync.Mutex
	configuration *configuration.Snapshot
	current       bool
}

func testConfiguration(t testing.TB, prefix string, maxAttempts int, retention float64) *configuration.Snapshot {
	t.Helper()
	document := fmt.Sprintf(`{"version":1,"services":[{"name":%q,"healthPath":"/health"}],"limits":{"maxHeaderBytes":16384,
		"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":%q,"apiKeys":["k"]},
		{"name":"bolt","apiKeys":["l"]}],
		"routes":[{"name":%q,"hostname":%q,"pathPrefix":%q,"routeKind":"batch_processing","timeoutMs":1000,"targetLatencyMs":400,
		"priority":2,"service":%q,"maxAttempts":%d,"completionTargetMs":12000,"retentionS":%g,"maxQueuedTokens":720000}]}`,
		testService, testTenant, testRoute, testHost, prefix, testService, maxAttempts, retention)
	return compile(t, document)
}

// configurationWithoutBatch is a configuration whose only route is for other requests.
func configurationWithoutBatch(t *testing.T) *configuration.Snapshot {
	t.Helper()
	return compile(t, `{"version":2,"services":[{"name":"writers","healthPath":"/health"}],"limits":{"maxHeaderBytes":16384,
		"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"routes":[{"name":"other","hostname":"a.example","pathPrefix":"/other/","routeKind":"idempotent","timeoutMs":1000,
		"targetLatencyMs":400,"priority":2,"service":"writers","maxAttempts":1}]}`)
}

func compile(t testing.TB, document string) *configuration.Snapshot {
	t.Helper()
	parsed, err := configuration.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	compiled, err := configuration.Compile(parsed)
	if err != nil {
		t.Fatal(err)
	}
	return compiled
}

func newFixture(t testing.TB, backends int) *fixture {
	f := &fixture{t: t, current: true, configuration: testConfiguration(t, testPrefix, 2, 40)}
	f.partition, f.replica = newTestPartition()
	f.admission = &fixedAdmission{}
	client := forward.NewClient(forward.Options{Connections: 100, Log: zap.NewNop()})
	for i := range backends {
		b := &backend{}
		server := httptest.NewServer(b)
		t.Cleanup(server.Close)
		f.backends = append(f.backends, b)
		f.admission.backends = append(f.admission.backends, discovery.Backend{
			ID:      fmt.Sprintf("i-%d", i),
			Service: testService,
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	client.SetBackends(discovery.NewList(f.admission.backends))
	f.config = &runnerConfig{
		admission:           f.admission,
		sender:              client,
		configuration:       f.configured,
		sendConfirmationAge: time.Second,
		stepDownAfter:       3 * time.Second,
		statusInterval:      time.Minute,
		checkpointInterval:  time.Hour,
		slots:               scheduler.NewSlots(50),
		retryQueue:          scheduler.NewRetryQueue(),
		pacer:               scheduler.NewPacer(time.Millisecond),
		log:                 zap.NewNop(),
	}
	return f
}

func (f *fixture) configured() (*configuration.Snapshot, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.configuration, f.current
}

func (f *fixture) configure(s *configuration.Snapshot, current bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.configuration, f.current = s, current
}

// start runs the runner until the test ends, or stop is called.
func (f *fixture) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.runner = newRunner(f.config, f.partition)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.runner.run(ctx)
	}()
	f.stop = func() {
		cancel()
		<-done
	}
	f.t.Cleanup(f.stop)
}

// submit has a job committed.
func (f *fixture) submit(job batch.Job) {
	f.t.Helper()
	outcome, err := f.partition.propose(context.Background(), &batch.Command{Submit: &batch.Submit{Job: job}})
	if err != nil || outcome != batch.Done {
		f.t.Fatal(outcome, err)
	}
}

// results waits until a number of results are listed.
func (f *fixture) results(key batch.Key, count int) []batch.ListedResult {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for from := 0; ; {
		page, known, changed := f.partition.state.results(key, from, 1<<30)
		if !known {
			f.t.Fatal("no such job")
		}
		if page.Next >= count {
			page, _, _ = f.partition.state.results(key, 0, 1<<30)
			return f.expanded(page.Results)
		}
		from = page.Next
		if changed != nil && !awaitClosed(context.Background(), changed, time.Until(deadline)) {
			f.t.Fatalf("%d results of %d", page.Next, count)
		}
		if page.Closed {
			f.t.Fatalf("closed with %d results of %d", page.Next, count)
		}
	}
}

func (f *fixture) expanded(results []batch.ListedResult) []batch.ListedResult {
	f.t.Helper()
	for i := range results {
		content, err := deflated.Expand(results[i].Content)
		if err != nil {
			f.t.Fatal(err)
		}
		results[i].Content = content
	}
	return results
}

// eventually waits for a condition that nothing tells of.
func (f *fixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.NewTimer(patience)
	defer deadline.Stop()
	look := time.NewTicker(2 * time.Millisecond)
	defer look.Stop()
	for !condition() {
		select {
		case <-look.C:
		case <-deadline.C:
			f.t.Fatalf("not in time: %s", what)
		}
	}
}

var errTestUnclear = fault.New(fault.Unclear, "the answer is lost")

var errTestNotReady = fault.New(fault.NotReady, "no view")
