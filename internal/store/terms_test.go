package store

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/configuration"
)

// limitedRoute returns a configuration with the test route, of a kind and with limits.
func limitedRoute(t *testing.T, kind string, maxAttempts int, retention time.Duration) *configuration.Snapshot {
	t.Helper()
	return routesConfiguration(t, fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":%q,"routeKind":%q,"timeoutMs":1000,
		"targetLatencyMs":400,"service":%q,"maxAttempts":%d,"retentionS":%g}`,
		testRoute, testHost, testPrefix, kind, testService, maxAttempts, retention.Seconds()))
}

// TestItemIsNotAbandonedBeforeTheRetentionOfItsJob guards against items that are listed as abandoned before the retention that their
// job was accepted with, because the route of that name was given a shorter one.
func TestItemIsNotAbandonedBeforeTheRetentionOfItsJob(t *testing.T) {
	const accepted, today = 40 * time.Second, 10 * time.Second
	for _, c := range []struct {
		kind                    string
		accepted, today, listed time.Duration // listed 0: never
	}{
		{"batch_processing", accepted, today, accepted},
		{"batch_processing", today, accepted, accepted},
		{"batch_processing", accepted, 0, 0},
		{"idempotent", accepted, 0, accepted},
	} {
		t.Run(fmt.Sprintf("%s, %v and then %v", c.kind, c.accepted, c.today), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 0)
				f.admission.refuse = true
				f.configure(limitedRoute(t, c.kind, 2, c.today), true)
				job := testJob(testKey(1), 1, 1)
				job.Terms = batch.Terms{Retention: c.accepted, MaxAttempts: 2}
				f.submit(job)
				f.start()
				defer f.stop()
				submitted := time.Now()
				listed := func() bool {
					page, _, _ := f.partition.state.results(job.Key, 0, 1)
					return len(page.Results) > 0
				}
				for !listed() && time.Since(submitted) < 2*accepted {
					time.Sleep(time.Second)
				}
				age := time.Since(submitted)
				switch {
				case c.listed == 0 && listed():
					t.Errorf("item was abandoned after %v, want never", age)
				case c.listed > 0 && (age < c.listed || age > c.listed+5*time.Second):
					t.Errorf("item was abandoned after %v, want soon after %v", age, c.listed)
				}
			})
		})
	}
}

// TestItemIsNotAbandonedBeforeTheAttemptsOfItsJob guards against items that are listed as abandoned after fewer failures than their job
// was accepted with, because the route of that name was given a lower limit, or became one of another kind.
func TestItemIsNotAbandonedBeforeTheAttemptsOfItsJob(t *testing.T) {
	f := newFixture(t, 1)
	f.configure(limitedRoute(t, "idempotent", 1, 0), true)
	var requests atomic.Int32
	f.backends[0].before = func(w http.ResponseWriter, r *http.Request) bool {
		return requests.Add(1) < 3 && answerWith(http.StatusInternalServerError)(w, r)
	}
	job := testJob(testKey(1), 1, 1)
	job.Terms = batch.Terms{Retention: time.Minute, MaxAttempts: 3}
	f.submit(job)
	f.start()
	checkCompleted(t, f.results(job.Key, 1)[0], 1)
}
