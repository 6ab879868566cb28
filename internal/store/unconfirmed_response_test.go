package store

import (
	"net/http"
	"testing"

	"nickelline/internal/forward"
)

// unsealed returns a before function of a backend that responds with a status and without a seal to the given number of requests.
func unsealed(status, requests int) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		if requests--; requests < 0 {
			return false
		}
		w.Header().Del(forward.HeaderResponseSeal)
		w.WriteHeader(status)
		return true
	}
}

// brokenOff returns a before function of a backend that breaks off the body of a response to the given number of requests.
func brokenOff(status, requests int) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		if requests--; requests < 0 {
			return false
		}
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(status)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestUnconfirmedResponseDoesNotAbandonAnItem guards against an item that is listed as abandoned by a response that is not whole, or
// does not carry the backend's seal.
func TestUnconfirmedResponseDoesNotAbandonAnItem(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(http.ResponseWriter, *http.Request) bool
	}{
		{"rejections without a seal", unsealed(http.StatusUnprocessableEntity, 2)},
		{"a rejection that breaks off", brokenOff(http.StatusUnprocessableEntity, 2)},
		{"failures without a seal", unsealed(http.StatusInternalServerError, 4)},
		{"failures that break off", brokenOff(http.StatusInternalServerError, 4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1) // maxAttempts 2
			f.backends[0].before = c.before
			f.start()
			job := testJob(testKey(1), 1, 2)
			f.submit(job)
			checkCompleted(t, f.results(job.Key, 1)[0], 2)
		})
	}
}

// TestItemIsNotSentAfterTooManyUnconfirmedResponses guards against an item that is sent to a backend again after three times
// maxAttempts failures, or after three rejections, because none of them was confirmed.
func TestItemIsNotSentAfterTooManyUnconfirmedResponses(t *testing.T) {
	for _, c := range []struct {
		status, requests int
	}{
		{http.StatusUnprocessableEntity, 3},
		{http.StatusInternalServerError, 3 * 2},
	} {
		t.Run(http.StatusText(c.status), func(t *testing.T) {
			f := newFixture(t, 1)
			f.backends[0].before = unsealed(c.status, c.requests+1)
			f.start()
			job := testJob(testKey(1), 1, 2)
			f.submit(job)
			checkAbandoned(t, f.results(job.Key, 1)[0])
			checkRequests(t, f.backends[0], c.requests)
		})
	}
}

// TestUnsealedStreamDoesNotCompleteAnItem guards against an item that is listed as completed with the text of a stream that does not
// carry the backend's seal.
func TestUnsealedStreamDoesNotCompleteAnItem(t *testing.T) {
	f := newFixture(t, 1)
	requests := 0
	f.backends[0].before = func(w http.ResponseWriter, _ *http.Request) bool {
		if requests++; requests > 1 {
			return false
		}
		w.Header().Del(forward.HeaderResponseSeal)
		w.Header().Set("Content-Type", forward.EventStream)
		_, _ = w.Write([]byte("id: 1\ndata: strange\n\n"))
		return true
	}
	f.start()
	job := testJob(testKey(1), 1, 2)
	f.submit(job)
	checkCompleted(t, f.results(job.Key, 1)[0], 2)
}
