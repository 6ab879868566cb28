package proxy

import (
	"context"
	"strings"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// storedBatch is a BatchAPI that keeps the jobs of each tenant.
type storedBatch struct {
	jobs  map[batch.Key]bool
	ended map[batch.Key]bool
}

func newStoredBatch() *storedBatch {
	return &storedBatch{jobs: map[batch.Key]bool{}, ended: map[batch.Key]bool{}}
}

func (s *storedBatch) Submit(_ context.Context, tenant string, _ *configuration.Route, job string, _ []byte) error {
	s.jobs[batch.Key{Tenant: tenant, Identifier: job}] = true
	return nil
}

func (s *storedBatch) Results(_ context.Context, tenant, job string, _ int, _ time.Duration) (batch.Page, error) {
	return batch.Page{}, s.find(tenant, job)
}

func (s *storedBatch) ItemBody(_ context.Context, tenant, job, _ string) ([]byte, error) {
	return nil, s.find(tenant, job)
}

func (s *storedBatch) End(_ context.Context, tenant, job string) error {
	s.ended[batch.Key{Tenant: tenant, Identifier: job}] = true
	return nil
}

func (s *storedBatch) find(tenant, job string) error {
	if !s.jobs[batch.Key{Tenant: tenant, Identifier: job}] {
		return fault.New(fault.NotFound, "no such job")
	}
	return nil
}

// withKey returns a request with another API key, or without one if the key is empty.
func withKey(text, key string) string {
	if key == "" {
		return strings.Replace(text, "Authorization: Bearer "+testKey+"\r\n", "", 1)
	}
	return strings.Replace(text, testKey, key, 1)
}

func batchCall(method, target, key string) string {
	return withKey(strings.Replace(requestText(target, "", ""), "POST", method, 1), key)
}

// TestLaterCallsFindTheJobOfTheSubmission guards against a job that is accepted for one caller and looked for as another's: it could be
// neither read nor ended.
func TestLaterCallsFindTheJobOfTheSubmission(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		accepted        int            // status of the submission
		later           map[string]int // status of later calls, by their key
	}{
		{"batch route", "/batch/7c", "k1", 202, map[string]int{"k1": 200, "k2": 200, "k3": 404, "k9": 401, "": 401}},
		{"batch route, no key", "/batch/7c", "", 401, map[string]int{"k1": 404, "": 401}},
		{"public batch route", "/public-batch/7c", "k1", 202, map[string]int{"k1": 200, "k2": 200, "k3": 404, "k9": 401, "": 401}},
		{"public batch route, no key", "/public-batch/7c", "", 202, map[string]int{"": 200, "k1": 404, "k9": 401}},
		{"public batch route, unknown key", "/public-batch/7c", "k9", 401, map[string]int{"k1": 404, "": 401}},
	} {
		t.Run(c.name, func(t *testing.T) {
			api := newStoredBatch()
			s := startTestProxy(t, func(o *Options) { o.Batch = api })
			check := func(call, text string, want int) {
				t.Helper()
				if a := s.roundTrip(t, text); a.StatusCode != want {
					t.Errorf("%s: got status %d, want %d", call, a.StatusCode, want)
				}
			}
			check("submission", batchCall("POST", c.path, c.key), c.accepted)
			for key, want := range c.later {
				check("results with key "+key, batchCall("GET", "/-/lots/"+testID, key), want)
				check("body with key "+key, batchCall("GET", "/-/items/"+testID+"?identifier=e5", key), want)
			}
		})
	}
}

// TestEndReachesTheJobOfTheSubmission guards against an end that is acknowledged and ends a job of another caller, or none.
func TestEndReachesTheJobOfTheSubmission(t *testing.T) {
	for _, c := range []struct {
		name, path, key, endKey string
		status                  int
		ended                   bool
	}{
		{"batch route", "/batch/7c", "k1", "k2", 200, true},
		{"public batch route", "/public-batch/7c", "k1", "k2", 200, true},
		{"public batch route, no key", "/public-batch/7c", "", "", 200, true},
		{"of a tenant, by a caller without a key", "/public-batch/7c", "k1", "", 401, false},
		{"of no tenant, by a tenant", "/public-batch/7c", "", "k1", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			api := newStoredBatch()
			s := startTestProxy(t, func(o *Options) { o.Batch = api })
			s.roundTrip(t, batchCall("POST", c.path, c.key))
			if a := s.roundTrip(t, batchCall("DELETE", "/-/lots/"+testID, c.endKey)); a.StatusCode != c.status {
				t.Errorf("end: got status %d, want %d", a.StatusCode, c.status)
			}
			for key := range api.jobs {
				if api.ended[key] != c.ended {
					t.Errorf("job %v ended: got %v, want %v", key, api.ended[key], c.ended)
				}
			}
		})
	}
}

// TestJobsOfATimeWithoutTenantsBelongToNone guards against jobs that were accepted while the configuration had no tenants and that
// cannot be read, or can be read by a tenant, once it has some.
func TestJobsOfATimeWithoutTenantsBelongToNone(t *testing.T) {
	api := newStoredBatch()
	s := startTestProxy(t, func(o *Options) { o.Batch = api })
	s.setTenants(t, "null")
	if a := s.roundTrip(t, batchCall("POST", "/batch/7c", "k1")); a.StatusCode != 202 {
		t.Fatalf("submission without tenants: got status %d, want 202", a.StatusCode)
	}
	s.setTenants(t, `[{"name":"t1","apiKeys":["k1"]},{"name":"t2","apiKeys":["k3"]}]`)
	for key, want := range map[string]int{"": 200, "k1": 404, "k3": 404, "k9": 401} {
		if a := s.roundTrip(t, batchCall("GET", "/-/lots/"+testID, key)); a.StatusCode != want {
			t.Errorf("results with key %q: got status %d, want %d", key, a.StatusCode, want)
		}
	}
	if a := s.roundTrip(t, batchCall("DELETE", "/-/lots/"+testID, "")); a.StatusCode != 200 || !api.ended[batch.Key{Identifier: testID}] {
		t.Errorf("end without a key: got status %d, ended %v, want 200 and ended", a.StatusCode, api.ended)
	}
}
