package proxy

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/discovery"
	"nickelline/internal/fault"
)

// recordedLoads records the order in which loads are refreshed, a backend is selected and a request is announced.
type recordedLoads struct {
	mutex sync.Mutex
	steps []string
}

func (l *recordedLoads) record(step string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.steps = append(l.steps, step)
}

func (l *recordedLoads) Refresh(context.Context, string) { l.record("refresh") }
func (l *recordedLoads) Announce(string)                 { l.record("announce") }

func TestLoadsAreRefreshedBeforeEachSelectionAndAnnouncedAfterIt(t *testing.T) {
	var loads recordedLoads
	refuse := false
	s := startTestProxy(t, func(o *Options) {
		selector := o.Selector
		o.Loads = &loads
		o.Selector = SelectorFunc(func(service string, now time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal) {
			loads.record("select")
			if refuse {
				return discovery.Backend{}, nil, &admission.Refusal{}
			}
			return selector.Select(service, now, r)
		})
	}, startBackend(t, okReply("fine")))
	if a := s.post(t, "/many/1"); a.StatusCode != http.StatusOK {
		t.Fatalf("status: got %d, want %d", a.StatusCode, http.StatusOK)
	}
	refuse = true
	if a := s.post(t, "/many/2"); a.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("status: got %d, want %d", a.StatusCode, http.StatusServiceUnavailable)
	}
	if want := []string{"refresh", "select", "announce", "refresh", "select"}; !slices.Equal(loads.steps, want) {
		t.Errorf("steps: got %v, want %v", loads.steps, want)
	}
}

func TestStatsCountRequests(t *testing.T) {
	failing := startBackend(t, replyAndClose(responseText(http.StatusInternalServerError, sealField, "no")))
	s := startTestProxy(t, nil, failing, startBackend(t, okReply("fine")))
	if a := s.post(t, "/many/1"); a.StatusCode != http.StatusOK {
		t.Fatalf("status: got %d, want %d", a.StatusCode, http.StatusOK)
	}
	if a := s.post(t, "/nowhere/"); a.StatusCode != http.StatusNotFound {
		t.Fatalf("status: got %d, want %d", a.StatusCode, http.StatusNotFound)
	}
	stats := s.Stats()
	if stats.Attempts != 2 || stats.Retries != 1 || stats.BackendResponses != 1 {
		t.Errorf("Stats: got %+v, want Attempts 2, Retries 1, BackendResponses 1", stats)
	}
	if stats.Executions != 2 || stats.Repeated != 1 {
		t.Errorf("Stats: got %+v, want Executions 2, Repeated 1", stats)
	}
	for kind, count := range stats.ErrorResponses {
		want := uint64(0)
		if kind == fault.RouteNotFound {
			want = 1
		}
		if count != want {
			t.Errorf("error responses of kind %v: got %d, want %d", kind, count, want)
		}
	}
}
