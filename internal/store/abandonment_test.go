package store

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestAbandonedItemsAreExplained guards against items that are listed as abandoned without a log and a metric that tell the reason,
// and the facts that it rests on.
func TestAbandonedItemsAreExplained(t *testing.T) {
	for _, c := range []struct {
		reason  abandonReason
		prepare func(f *fixture)
		fields  map[string]any // beside those that all reasons have
	}{
		{abandonedByRoute, func(f *fixture) { f.configure(configurationWithoutBatch(t), true) }, map[string]any{"configuration": uint64(2)}},
		{abandonedByAge, func(f *fixture) {
			f.configure(testConfiguration(t, testPrefix, 2, 0.001), true)
			f.admission.refuse = true
		}, map[string]any{"configuration": uint64(1), "retention": time.Millisecond}},
		{abandonedByServerErrors, func(f *fixture) {
			f.backends[0].before = answerWith(http.StatusInternalServerError)
		}, map[string]any{"configuration": uint64(1), "server_errors": []any{2}, "max_attempts": int64(2), "backend": "i-0"}},
		{abandonedByRejection, func(f *fixture) {
			f.backends[0].before = answerWith(http.StatusUnprocessableEntity)
		}, map[string]any{"configuration": uint64(1), "server_errors": []any{0}, "backend": "i-0"}},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			f := newFixture(t, 1)
			core, logged := observer.New(zap.InfoLevel)
			f.config.log = zap.New(core)
			c.prepare(f)
			job := testJob(testKey(1), 1, 1)
			f.submit(job)
			f.start()
			checkAbandoned(t, f.results(job.Key, 1)[0])
			if got := f.config.abandoned.byRoute()[testRoute][string(c.reason)]; got != 1 {
				t.Errorf("items counted by %s: got %d, want 1", c.reason, got)
			}
			entries := logged.FilterMessage("items abandoned").All()
			if len(entries) != 1 {
				t.Fatalf("log entries: got %d, want 1", len(entries))
			}
			got := entries[0].ContextMap()
			checkFields(t, got, map[string]any{
				"reason": string(c.reason), "job": job.Key.Identifier, "items": []any{job.Items[0].Identifier}, "route": testRoute,
			})
			checkFields(t, got, c.fields)
			for _, name := range []string{"age", "proof_age", "partition", "term"} {
				if _, found := got[name]; !found {
					t.Errorf("field %s is missing", name)
				}
			}
		})
	}
}

// checkFields compares fields of a log entry.
func checkFields(t *testing.T, got, want map[string]any) {
	t.Helper()
	for name, value := range want {
		if !reflect.DeepEqual(got[name], value) {
			t.Errorf("field %s: got %v, want %v", name, got[name], value)
		}
	}
}
