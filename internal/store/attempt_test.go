package store

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/forward"
)

// checkCompleted fails unless an item was completed with the text of the given number of events.
func checkCompleted(t *testing.T, result batch.ListedResult, events int) {
	t.Helper()
	if result.State != batch.Completed {
		t.Errorf("state of %s: got %d, want %d", result.Identifier, result.State, batch.Completed)
	}
	if got, want := string(result.Content), wantText(result.Identifier, events); got != want {
		t.Errorf("text of %s: got %q, want %q", result.Identifier, got, want)
	}
}

// checkAbandoned fails unless an item was abandoned.
func checkAbandoned(t *testing.T, result batch.ListedResult) {
	t.Helper()
	if result.State != batch.Abandoned {
		t.Errorf("state of %s: got %d, want %d", result.Identifier, result.State, batch.Abandoned)
	}
}

// checkRequests compares the number of requests that a backend has received.
func checkRequests(t *testing.T, b *backend, want int) {
	t.Helper()
	if got := len(b.receivedRequests()); got != want {
		t.Errorf("requests to the backend: got %d, want %d", got, want)
	}
}

// answerWith returns a before function of a backend that responds to each request with a status.
func answerWith(status int) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(status)
		return true
	}
}

func TestItemsAreSentAsSubmitted(t *testing.T) {
	f := newFixture(t, 1)
	f.start()
	job := testJob(testKey(1), 1, 1)
	f.submit(job)
	f.results(job.Key, 1)
	got := f.backends[0].receivedRequests()[0]
	item := job.Items[0]
	for _, test := range []struct{ name, got, want string }{
		{"method", got.Method, http.MethodPost},
		{"target", got.RequestURI, item.Path},
		{"host", got.Host, testHost},
		{"body", f.backends[0].bodies[0], string(item.Body)},
		{"attempt id", got.Header.Get(forward.HeaderAttemptID), item.Identifier},
		{"tenant", got.Header.Get(forward.HeaderTenant), testTenant},
		{"expected instance", got.Header.Get(forward.HeaderExpectedInstance), "i-0"},
		{"last event id", got.Header.Get(forward.HeaderLastEventID), ""},
		{"header of the item", got.Header.Get("X-Events"), "1"},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, test.got, test.want)
		}
	}
}

func TestBrokenStreamIsContinuedAfterItsLastEvent(t *testing.T) {
	f := newFixture(t, 2)
	var breaks atomic.Int32
	for _, b := range f.backends {
		b.beforeEvent = func(_ *http.Request, id int) bool {
			return id%3 != 0 || breaks.Add(1) > 4
		}
	}
	f.start()
	job := testJob(testKey(1), 1, 10)
	f.submit(job)
	checkCompleted(t, f.results(job.Key, 1)[0], 10)
}

func TestServerErrorsAreCountedUpToMaxAttempts(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].before = answerWith(http.StatusInternalServerError)
	f.start()
	job := testJob(testKey(1), 1, 1)
	f.submit(job)
	checkAbandoned(t, f.results(job.Key, 1)[0])
	checkRequests(t, f.backends[0], 2)
}

// TestFailuresAreCountedAcrossHeads guards against an item that is sent maxAttempts times more after each change of the head.
func TestFailuresAreCountedAcrossHeads(t *testing.T) {
	const maxAttempts, heads, failuresOfAHead = 7, 3, 2
	f := newFixture(t, 1)
	f.configure(testConfiguration(t, testPrefix, maxAttempts, 40), true)
	failed := make(chan struct{}, 100)
	f.backends[0].before = func(w http.ResponseWriter, r *http.Request) bool {
		defer func() { failed <- struct{}{} }()
		return answerWith(http.StatusInternalServerError)(w, r)
	}
	job := testJob(testKey(1), 1, 1)
	f.submit(job)
	for range heads {
		f.start()
		for range failuresOfAHead {
			receive(t, failed)
		}
		f.stop()
	}
	f.start()
	checkAbandoned(t, f.results(job.Key, 1)[0])
	// Each end of a head may lose the count of the failure that it has not recorded.
	if got := len(f.backends[0].receivedRequests()); got < maxAttempts || got > maxAttempts+heads {
		t.Errorf("requests to the backend: got %d, want %d to %d", got, maxAttempts, maxAttempts+heads)
	}
}

// TestItemIsNotSentBeforeItsFailureIsRecorded guards against failures that the next head does not know of.
func TestItemIsNotSentBeforeItsFailureIsRecorded(t *testing.T) {
	f := newFixture(t, 1)
	f.configure(testConfiguration(t, testPrefix, 3, 40), true)
	f.backends[0].before = answerWith(http.StatusInternalServerError)
	f.replica.set(func(r *fakeReplica) { r.failCommandError = errTestNotReady })
	f.start()
	job := testJob(testKey(1), 1, 1)
	f.submit(job)
	f.eventually("recording the failure was tried again", func() bool {
		tried := 0
		f.replica.set(func(r *fakeReplica) { tried = r.failCommands })
		return tried >= 4
	})
	checkRequests(t, f.backends[0], 1)
	f.replica.set(func(r *fakeReplica) { r.failCommandError = nil })
	checkAbandoned(t, f.results(job.Key, 1)[0])
	checkRequests(t, f.backends[0], 3)
}

// TestItemThatHasFailedTooOftenIsNotSent guards against another attempt by a head whose predecessor did not get to list the item.
func TestItemThatHasFailedTooOftenIsNotSent(t *testing.T) {
	f := newFixture(t, 1)
	job := testJob(testKey(1), 1, 1)
	f.submit(job)
	failure := batch.Failure{Key: job.Key, ServerErrors: 2}
	if _, err := f.partition.propose(context.Background(), &batch.Command{Fail: []batch.Failure{failure}}); err != nil {
		t.Fatal(err)
	}
	f.start()
	checkAbandoned(t, f.results(job.Key, 1)[0])
	checkRequests(t, f.backends[0], 0)
}

func TestRejectedItemIsAbandonedAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].before = answerWith(http.StatusUnprocessableEntity)
	f.start()
	job := testJob(testKey(1), 1, 1)
	f.submit(job)
	checkAbandoned(t, f.results(job.Key, 1)[0])
	checkRequests(t, f.backends[0], 1)
}

func TestOtherFailuresAreRetried(t *testing.T) {
	f := newFixture(t, 1)
	var calls atomic.Int32
	f.backends[0].before = func(w http.ResponseWriter, _ *http.Request) bool {
		switch calls.Add(1) {
		case 1, 2, 3:
			w.Header().Set(forward.HeaderNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 4:
			panic(http.ErrAbortHandler)
		case 5:
			w.WriteHeader(http.StatusGatewayTimeout)
		case 6:
			w.Header().Set("Content-Type", forward.EventStream) // ends properly without any event
		default:
			return false
		}
		return true
	}
	f.start()
	job := testJob(testKey(1), 1, 3)
	f.submit(job)
	checkCompleted(t, f.results(job.Key, 1)[0], 3)
	if got := f.admission.outcomes[0]; got != admission.Full {
		t.Errorf("outcome of a request that the backend refused: got %d, want %d", got, admission.Full)
	}
}

func TestAttemptAtUnresponsiveBackendIsCancelled(t *testing.T) {
	f := newFixture(t, 2)
	var first sync.Once
	for _, b := range f.backends {
		b.beforeEvent = func(r *http.Request, _ int) bool {
			mayGoOn := true
			first.Do(func() {
				<-r.Context().Done()
				mayGoOn = false
			})
			return mayGoOn
		}
	}
	f.start()
	job := testJob(testKey(1), 1, 3)
	f.submit(job)
	checkCompleted(t, f.results(job.Key, 1)[0], 3)
}
