package store

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/forward"
	"nickelline/internal/store/scheduler"
)

// This file checks the runner against a model of what PROTOCOL.md and RULES.md promise of accepted items, under random changes of the
// configuration, of which the store hears late. Time is that of a synctest bubble. No backend accepts an item, so that each item is
// sent again and again until it is given up: the model tells where it may be sent, and when it must be.

const (
	// modelProofAge is the age of a proof up to which the store's configuration counts as current.
	modelProofAge = 3500 * time.Millisecond
	// modelRetention is the retention of all routes. It is longer than a history.
	modelRetention = 10 * time.Minute
	// modelSettling is how long the store has the newest configuration at the end of a history. An item is sent at least once in its
	// second half, as the backoff is at most a second.
	modelSettling = 6 * time.Second
)

// modelRoute is a route of the model.
type modelRoute struct {
	Name, Prefix, Service string
	Batch                 bool
}

// modelVersion is a version of the configuration.
type modelVersion struct {
	routes   []modelRoute
	snapshot *configuration.Snapshot
}

// routeOf returns the route of a job by the rules: the one of its name, else a batch route of its prefix, else nil.
func (v *modelVersion) routeOf(ref batch.RouteRef) *modelRoute {
	for i := range v.routes {
		if v.routes[i].Name == ref.Name {
			return &v.routes[i]
		}
	}
	for i := range v.routes {
		if v.routes[i].Prefix == ref.Prefix && v.routes[i].Batch {
			return &v.routes[i]
		}
	}
	return nil
}

// modelCommand is a step of a history: one of its fields is set, or none, which only lets time pass.
type modelCommand struct {
	Change  []modelRoute  // the operator changes the configuration
	Submit  string        // a client submits a job whose items have this path
	End     bool          // a client ends the oldest job that is not ended
	Hear    bool          // the store hears of the newest configuration, and has it proven
	NewHead bool          // another store becomes the head
	Pass    time.Duration // afterwards, time passes
}

// drawCommand draws a step. Names and prefixes of routes are few, so that they meet often.
func drawCommand(t *rapid.T) modelCommand {
	c := modelCommand{Pass: time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0, 1:
		c.Change = drawRoutes(t)
	case 2, 3:
		c.Submit = rapid.SampledFrom([]string{"/jobs/1", "/jobs/3/1", "/other/1"}).Draw(t, "path")
	case 4:
		c.Hear = true
	case 5:
		c.End = rapid.IntRange(0, 2).Draw(t, "end") == 0
	case 6:
		c.NewHead = true
	}
	return c
}

func drawRoutes(t *rapid.T) []modelRoute {
	names := rapid.Permutation([]string{"jobs", "inner", "other"}).Draw(t, "names")
	prefixes := rapid.Permutation([]string{"/jobs/", "/jobs/3/", "/other/"}).Draw(t, "prefixes")
	routes := []modelRoute{}
	for i := range rapid.IntRange(0, len(names)).Draw(t, "routes") {
		routes = append(routes, modelRoute{
			Name: names[i], Prefix: prefixes[i],
			Service: rapid.SampledFrom([]string{"writers", "cards"}).Draw(t, "service"),
			Batch:   rapid.IntRange(0, 3).Draw(t, "batch") > 0,
		})
	}
	return routes
}

// modelJob is an accepted job of one item.
type modelJob struct {
	key        batch.Key
	ref        batch.RouteRef
	acceptedAt time.Time
	ended      bool
	routeEnded bool // by a configuration that was proven after the job was accepted
	sentAt     time.Time
}

// routeModel runs a history. It is the admission, the sender and the configuration of the runner.
type routeModel struct {
	t    *testing.T
	stop func()

	partition *partition
	config    *runnerConfig

	mutex    sync.Mutex
	versions []*modelVersion
	heard    int       // index of the store's version
	provenAt time.Time // when the proof of that version was made
	jobs     []*modelJob
	failure  string
}

func newRouteModel(t *testing.T) *routeModel {
	m := &routeModel{t: t}
	m.partition, _ = newTestPartition()
	m.config = &runnerConfig{
		admission: m, sender: m, configuration: m.configuration,
		sendConfirmationAge: time.Second, stepDownAfter: 3 * time.Second, statusInterval: time.Hour, checkpointInterval: time.Hour,
		slots: scheduler.NewSlots(50), retryQueue: scheduler.NewRetryQueue(), pacer: scheduler.NewPacer(time.Millisecond),
		held: newRouteCounts[holdReason](), abandoned: newRouteCounts[abandonReason](), log: zap.NewNop(),
	}
	m.change([]modelRoute{{Name: "jobs", Prefix: "/jobs/", Service: "writers", Batch: true}})
	m.hear()
	return m
}

func (m *routeModel) fail(format string, arguments ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, arguments...)
	}
}

func (m *routeModel) configuration() (*configuration.Current, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	provenAt := m.provenAt
	age := func() time.Duration { return time.Since(provenAt) }
	return &configuration.Current{Snapshot: m.versions[m.heard].snapshot, ProofAge: age}, age() <= modelProofAge
}

// Pick implements Admission: every service has one backend, which has the service's name.
func (m *routeModel) Pick(service string, _ time.Time, _ admission.Request) (discovery.Backend, Permit, *admission.Refusal) {
	return discovery.Backend{ID: service, Service: service}, &fakePermit{admission: &fakeAdmission{}}, nil
}

// Do implements Sender: it checks that the item may be sent to the backend, which refuses it.
func (m *routeModel) Do(_ context.Context, b discovery.Backend, r *forward.Request) (*forward.Response, *forward.Failure) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, job := range m.jobs {
		if job.key.Identifier != r.AttemptID {
			continue
		}
		job.sentAt = time.Now()
		route := m.versions[m.heard].routeOf(job.ref)
		switch {
		case job.ended:
			m.fail("item of ended job %v was sent", job.key)
		case route == nil || route.Service != b.Service:
			m.fail("item of job %v, accepted on %+v, was sent to %s under %+v", job.key, job.ref, b.Service, m.versions[m.heard].routes)
		}
	}
	return nil, &forward.Failure{Outcome: forward.NotExecuted, Status: 503}
}

func (m *routeModel) change(routes []modelRoute) {
	entries := []string{}
	for _, r := range routes {
		kind := "idempotent"
		if r.Batch {
			kind = "batch_processing"
		}
		entries = append(entries, fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":%q,"routeKind":%q,"timeoutMs":1000,"service":%q,
			"maxAttempts":2,"retentionS":%g}`, r.Name, testHost, r.Prefix, kind, r.Service, modelRetention.Seconds()))
	}
	version := &modelVersion{routes: routes, snapshot: routesConfiguration(m.t, entries...)}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.versions = append(m.versions, version)
}

// hear gives the store the newest version with a new proof, and records which routes have thereby ended.
func (m *routeModel) hear() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heard, m.provenAt = len(m.versions)-1, time.Now()
	for _, job := range m.jobs {
		ended := m.versions[m.heard].routeOf(job.ref) == nil && m.provenAt.After(job.acceptedAt)
		job.routeEnded = job.routeEnded || ended
	}
}

// submit has a job accepted by a proxy that has the newest configuration, if that has a batch route for the path.
func (m *routeModel) submit(path string) {
	m.mutex.Lock()
	route := m.versions[len(m.versions)-1].snapshot.Match(testHost, path)
	m.mutex.Unlock()
	if route == nil || route.Kind != configuration.Batch {
		return
	}
	id := fmt.Sprintf("job-%d", len(m.jobs))
	job := &modelJob{
		key:        batch.Key{Tenant: testTenant, Identifier: id},
		ref:        batch.RouteRef{Name: route.Name, Host: route.Host, Prefix: route.Prefix},
		acceptedAt: time.Now(),
	}
	m.mutex.Lock()
	m.jobs = append(m.jobs, job)
	m.mutex.Unlock()
	m.propose(&batch.Command{Submit: &batch.Submit{Job: batch.Job{
		Key: job.key, Route: job.ref, Items: []batch.Item{{Identifier: id, Path: path, Tokens: 1}},
	}}})
}

func (m *routeModel) end() {
	at := slices.IndexFunc(m.jobs, func(job *modelJob) bool { return !job.ended })
	if at < 0 {
		return
	}
	m.propose(&batch.Command{End: &m.jobs[at].key})
	synctest.Wait()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.jobs[at].ended = true
}

func (m *routeModel) propose(command *batch.Command) {
	if _, err := m.partition.propose(context.Background(), command); err != nil {
		m.fail("propose: %v", err)
	}
}

// startHead starts the runner of a new head, once that of the former one has ended.
func (m *routeModel) startHead() {
	if m.stop != nil {
		m.stop()
	}
	m.partition.clock = newHeadClock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	r := newRunner(m.config, m.partition, testTerm)
	go func() {
		defer close(ended)
		r.run(ctx)
	}()
	m.stop = func() {
		cancel()
		<-ended
	}
}

// listed returns the state of a job's item, and whether it is listed.
func (m *routeModel) listed(job *modelJob) (batch.State, bool) {
	page, _, _ := m.partition.state.results(job.key, 0, 1<<20)
	if len(page.Results) == 0 {
		return batch.Waiting, false
	}
	return page.Results[0].State, true
}

// checkAbandoned checks that no item has been given up whose route has not ended.
func (m *routeModel) checkAbandoned() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, job := range m.jobs {
		if _, listed := m.listed(job); listed && !job.routeEnded {
			m.fail("item of job %v was given up before the end of its route %+v", job.key, job.ref)
		}
	}
}

// settle lets the store have the newest configuration for a while, and checks that each item that may run is sent, and each other one
// is listed.
func (m *routeModel) settle() {
	const step = 100 * time.Millisecond
	half := time.Now().Add(modelSettling / 2)
	for range modelSettling / step {
		synctest.Wait()
		m.hear()
		time.Sleep(step)
		m.checkAbandoned()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, job := range m.jobs {
		_, listed := m.listed(job)
		if !job.ended && !listed && job.sentAt.Before(half) {
			m.fail("item of job %v, accepted on %+v, is neither listed nor sent any more under %+v", job.key, job.ref, m.versions[m.heard].routes)
		}
	}
}

// run carries out the commands, and returns what broke a rule, or an empty string.
func (m *routeModel) run(commands []modelCommand) string {
	m.startHead()
	for _, c := range commands {
		synctest.Wait() // until what the runner has begun at this moment is done, with the configuration of before
		switch {
		case c.Change != nil:
			m.change(c.Change)
		case c.Submit != "":
			m.submit(c.Submit)
		case c.End:
			m.end()
		case c.Hear:
			m.hear()
		case c.NewHead:
			m.startHead()
		}
		time.Sleep(c.Pass)
		m.checkAbandoned()
	}
	m.settle()
	m.stop()
	return m.failure
}

// TestItemsUnderChangesOfRoutes guards against accepted items that are sent to another route's service, given up before their route ends,
// or neither sent nor listed, whatever the operator does to routes meanwhile.
func TestItemsUnderChangesOfRoutes(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 25).Draw(drawn, "commands")
		broken := ""
		synctest.Test(t, func(t *testing.T) { broken = newRouteModel(t).run(commands) })
		if broken != "" {
			drawn.Fatal(broken)
		}
	})
}
