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
	client := forward.NewClient(forward.Options{Connections: 100, ConnectTimeout: testTimeout})
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

// start runs the runner of the fixture's partition until the test ends, or stop is called.
func (f *fixture) start() {
	f.runner = newRunner(f.config, f.partition, testTerm)
	f.stop = f.run(f.runner)
}

// run runs a runner until the test ends, or the function that it returns is called, which waits for the end.
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
	deadline := time.Now().Add(testTimeout)
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

// eventually waits for a condition, which it checks again and again.
func (f *fixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.NewTimer(testTimeout)
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
