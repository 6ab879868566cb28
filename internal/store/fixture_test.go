package store

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/batch"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/forward"
	"nickelline/internal/store/scheduler"
)

const (
	testTenant  = "acme"
	testHost    = "a.example"
	testRoute   = "reports"
	testPrefix  = "/reports/"
	testService = "writers"
	// testTimeout bounds every wait of a test.
	testTimeout = 20 * time.Second
)

func testKey(n int) batch.Key {
	return batch.Key{Tenant: testTenant, Identifier: fmt.Sprintf("job-%d", n)}
}

// testJob returns a job whose items each ask the fake backend for a number of events.
func testJob(key batch.Key, items, events int) batch.Job {
	job := batch.Job{Key: key, Route: batch.RouteRef{Name: testRoute, Host: testHost, Prefix: testPrefix}}
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

// wantText returns the text that the fake backend sends for an item.
func wantText(attempt string, events int) string {
	var lines []string
	for id := 1; id <= events; id++ {
		lines = append(lines, eventData(attempt, id))
	}
	return strings.Join(lines, "\n")
}

func eventData(attempt string, id int) string { return fmt.Sprintf("%s event %d", attempt, id) }

// fixture is a runner with fake backends, admission and chain.
type fixture struct {
	t         testing.TB
	partition *partition
	replica   *fakeReplica
	admission *fakeAdmission
	backends  []*backend
	config    *runnerConfig
	runner    *runner
	stop      func()

	mutex         sync.Mutex
	configuration *configuration.Snapshot
	current       bool
	proofAge      time.Duration // age of the proof that the configuration is current
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

// configurationWithoutBatch returns a configuration without a batch route.
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
	f.admission = &fakeAdmission{}
	client := forward.NewClient(forward.Options{MaxConnections: 100, ConnectTimeout: testTimeout})
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
		held:                newRouteCounts[holdReason](),
		abandoned:           newRouteCounts[abandonReason](),
		log:                 zap.NewNop(),
	}
	return f
}

func (f *fixture) configured() (*configuration.Current, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	age := f.proofAge
	return &configuration.Current{Snapshot: f.configuration, ProofAge: func() time.Duration { return age }}, f.current
}

func (f *fixture) configure(s *configuration.Snapshot, current bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.configuration, f.current = s, current
}

// start runs a new runner of the fixture's partition until the test ends or stop is called.
func (f *fixture) start() {
	f.runner = newRunner(f.config, f.partition, testTerm)
	f.stop = f.run(f.runner)
}

// run runs a runner until the test ends or the returned function is called, which waits for the runner's end.
func (f *fixture) run(r *runner) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.run(ctx)
	}()
	stop = func() {
		cancel()
		<-ended
	}
	f.t.Cleanup(stop)
	return stop
}

// submit commits a job.
func (f *fixture) submit(job batch.Job) {
	f.t.Helper()
	outcome, err := f.partition.propose(context.Background(), &batch.Command{Submit: &batch.Submit{Job: job}})
	if err != nil || outcome != batch.Done {
		f.t.Fatal(outcome, err)
	}
}

// results waits until a job has the given number of results, and returns them with their content decompressed.
func (f *fixture) results(key batch.Key, count int) []batch.ListedResult {
	f.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for from := 0; ; {
		page, known, changed := f.partition.state.results(key, from, 1<<30)
		if !known {
			f.t.Fatal("no such job")
		}
		if page.Next >= count {
			page, _, _ = f.partition.state.results(key, 0, 1<<30)
			return f.decompressResults(page.Results)
		}
		from = page.Next
		if changed != nil && !awaitClosed(context.Background(), changed, time.Until(deadline)) {
			f.t.Fatalf("results in time: got %d, want %d", page.Next, count)
		}
		if page.Closed {
			f.t.Fatalf("results of the closed job: got %d, want %d", page.Next, count)
		}
	}
}

func (f *fixture) decompressResults(results []batch.ListedResult) []batch.ListedResult {
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

// eventually polls a condition until it holds, and fails the test after testTimeout.
func (f *fixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.NewTimer(testTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(2 * time.Millisecond)
	defer poll.Stop()
	for !condition() {
		select {
		case <-poll.C:
		case <-deadline.C:
			f.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
