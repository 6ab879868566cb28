package store

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nickelline/internal/configuration"
)

// routesConfiguration returns a configuration with the services testService and "cards" and the given routes.
func routesConfiguration(t *testing.T, routes ...string) *configuration.Snapshot {
	t.Helper()
	return compile(t, fmt.Sprintf(`{"version":2,"services":[{"name":%q,"healthPath":"/health"},{"name":"cards","healthPath":"/health"}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":%q,"apiKeys":["k"]}],"routes":[%s]}`, testService, testTenant, strings.Join(routes, ",")))
}

// routeEntry returns a route of a configuration.
func routeEntry(name, host, prefix, kind, service string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":%q,"routeKind":%q,"timeoutMs":1000,"targetLatencyMs":400,"service":%q,
		"maxAttempts":2,"retentionS":40}`, name, host, prefix, kind, service)
}

// TestItemsRunOnTheRouteOfTheirJob guards against accepted items that never run, or run at another service, because a change of the
// configuration gives their paths to another route or moves, changes or renames the route of their job.
func TestItemsRunOnTheRouteOfTheirJob(t *testing.T) {
	own := routeEntry(testRoute, testHost, testPrefix, "batch_processing", testService)
	for _, c := range []struct {
		name   string
		routes []string
	}{
		{"a live route inside the prefix", []string{own, routeEntry("inner", testHost, testPrefix+"0/", "idempotent", "cards")}},
		{"a batch route inside the prefix", []string{own, routeEntry("inner", testHost, testPrefix+"0/", "batch_processing", "cards")}},
		{"moved to another prefix", []string{routeEntry(testRoute, testHost, "/elsewhere/", "batch_processing", testService)}},
		{"moved to another host", []string{routeEntry(testRoute, "b.example", testPrefix, "batch_processing", testService)}},
		{"its prefix taken over", []string{
			routeEntry(testRoute, testHost, "/elsewhere/", "batch_processing", testService),
			routeEntry("successor", testHost, testPrefix, "batch_processing", "cards"),
		}},
		{"of another kind", []string{routeEntry(testRoute, testHost, testPrefix, "idempotent", testService)}},
		{"renamed", []string{routeEntry("renamed", testHost, testPrefix, "batch_processing", testService)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.configure(routesConfiguration(t, c.routes...), true)
			job := testJob(testKey(1), 3, 2)
			for i := range job.Items {
				job.Items[i].Path = fmt.Sprintf("%s0/%d", testPrefix, i)
			}
			f.submit(job)
			f.start()
			for _, result := range f.results(job.Key, 3) {
				checkCompleted(t, result, 2)
			}
		})
	}
}

// TestNewRouteDoesNotDelayOtherJobs guards against a job that cannot be routed and keeps the later jobs of its tenant from running.
func TestNewRouteDoesNotDelayOtherJobs(t *testing.T) {
	f := newFixture(t, 1)
	f.configure(routesConfiguration(t,
		routeEntry(testRoute, testHost, testPrefix, "batch_processing", testService),
		routeEntry("inner", testHost, testPrefix+"0/", "idempotent", "cards")), true)
	first, second := testJob(testKey(1), 3, 2), testJob(testKey(2), 3, 2)
	first.Items[0].Path = testPrefix + "0/1"
	f.submit(first)
	f.submit(second)
	f.start()
	for _, result := range f.results(second.Key, 3) {
		checkCompleted(t, result, 2)
	}
}

// TestItemsOfAnEndedRouteAreAbandoned guards against items of a removed route that wait, or that run on another route of their path.
func TestItemsOfAnEndedRouteAreAbandoned(t *testing.T) {
	for _, c := range []struct{ name, route string }{
		{"no route of the path", routeEntry("other", testHost, "/other/", "batch_processing", testService)},
		{"a live route of the prefix", routeEntry("other", testHost, testPrefix, "idempotent", testService)},
		{"a batch route of a shorter prefix", routeEntry("other", testHost, "/", "batch_processing", testService)},
		{"a batch route of a longer prefix", routeEntry("other", testHost, testPrefix+"0/", "batch_processing", testService)},
		{"a batch route of another host", routeEntry("other", "b.example", testPrefix, "batch_processing", testService)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.configure(routesConfiguration(t, c.route), true)
			job := testJob(testKey(1), 1, 2)
			job.Items[0].Path = testPrefix + "0/1"
			f.submit(job)
			f.start()
			checkAbandoned(t, f.results(job.Key, 1)[0])
			checkRequests(t, f.backends[0], 0)
		})
	}
}

// TestStaleConfigurationDoesNotEndARoute guards against items that are given up by a store that has not heard of their route yet: its
// configuration is older than the one under which the job was accepted.
func TestStaleConfigurationDoesNotEndARoute(t *testing.T) {
	f := newFixture(t, 1)
	f.proofAge = time.Hour
	f.configure(configurationWithoutBatch(t), true)
	job := testJob(testKey(1), 3, 2)
	f.submit(job)
	f.start()
	f.eventually("the items are held back", func() bool { return f.config.held.byRoute()[testRoute][string(heldByRoute)] >= 3 })
	f.configure(testConfiguration(t, testPrefix, 2, 40), true)
	for _, result := range f.results(job.Key, 3) {
		checkCompleted(t, result, 2)
	}
}

// TestProvenConfigurationEndsARoute is the counterpart: a configuration that was proven to be the newest since the job was accepted.
func TestProvenConfigurationEndsARoute(t *testing.T) {
	f := newFixture(t, 1)
	f.proofAge = 200 * time.Millisecond
	f.configure(configurationWithoutBatch(t), true)
	job := testJob(testKey(1), 3, 2)
	began := time.Now()
	f.submit(job)
	f.start()
	for _, result := range f.results(job.Key, 3) {
		checkAbandoned(t, result)
	}
	if got := time.Since(began); got < f.proofAge {
		t.Errorf("abandoned after %v, want no earlier than %v", got, f.proofAge)
	}
	checkRequests(t, f.backends[0], 0)
}
