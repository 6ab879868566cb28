package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
)

// closeWithoutReply closes the connection without a response.
var closeWithoutReply = replyAndClose("")

const loadField = "Nickelline-Server-Load: 8,2,8\r\n"

// Replies of backends to requests.
var (
	fullReply         = replyAndClose(responseText(503, notExecutedField+loadField, "full"))
	misdirectedReply  = replyAndClose(responseText(421, "", ""))
	failedReply       = replyAndClose(responseText(500, sealField, "failed"))
	lateReply         = replyAndClose(responseText(504, sealField, "late"))
	unconfirmedReply  = replyAndClose(responseText(503, sealField, "not so"))
	unsealedReply     = replyAndClose(responseText(200, "", "whose?"))
	unsealedFailure   = replyAndClose(responseText(500, "", "failed"))
	unsealedNotFound  = replyAndClose(responseText(404, "", "no such thing"))
	otherRequestReply = replyAndClose(strings.ReplaceAll(responseText(200, sealField, "another's"), "ID", "other"))
	surplusReply      = replyAndClose(strings.ReplaceAll(responseText(200, sealField, "another's"), "ID", "other") + responseText(200, sealField, "late"))
	notFoundReply     = replyAndClose(responseText(404, sealField, "no such thing"))
)

// attemptCases are requests to backends that reply in different ways.
var attemptCases = []struct {
	name     string
	path     string
	backends []reply
	status   int
	body     string // body of the backend's response; empty: the response is the proxy's own
	counts   []int  // requests that each backend receives
}{
	{"success", "/once/x", []reply{okReply("a"), okReply("b")}, 200, "a", []int{1, 0}},
	{"full, then success", "/once/x", []reply{fullReply, okReply("b")}, 200, "b", []int{1, 1}},
	{"another backend at the address", "/once/x", []reply{misdirectedReply, okReply("b")}, 200, "b", []int{1, 1}},
	{"all full", "/once/x", []reply{fullReply, fullReply}, 503, "", []int{1, 1}},
	{"full too often", "/once/x", []reply{fullReply, fullReply, okReply("c")}, 503, "", []int{1, 1, 0}},
	{"may have run, once", "/once/x", []reply{closeWithoutReply, okReply("b")}, 502, "", []int{1, 0}},
	{"may have run, repeatable", "/many/x", []reply{closeWithoutReply, okReply("b")}, 200, "b", []int{1, 1}},
	{"full, then may have run, once", "/once/x", []reply{fullReply, closeWithoutReply, okReply("c")}, 502, "", []int{1, 1, 0}},
	{"may have run, then all full", "/many/x", []reply{closeWithoutReply, fullReply}, 502, "", []int{1, 1}},
	{"no more than the route allows", "/many/x", []reply{closeWithoutReply, closeWithoutReply, okReply("c")}, 502, "", []int{1, 1, 0}},
	{"error response of a backend, once", "/once/x", []reply{failedReply, okReply("b")}, 500, "failed", []int{1, 0}},
	{"error response of a backend, repeatable", "/many/x", []reply{failedReply, okReply("b")}, 200, "b", []int{1, 1}},
	{"error responses of backends", "/many/x", []reply{failedReply, lateReply, okReply("c")}, 504, "late", []int{1, 1, 0}},
	{"error response of a backend, then all full", "/many/x", []reply{failedReply, fullReply}, 500, "failed", []int{1, 1}},
	{"an error of the client", "/many/x", []reply{notFoundReply, okReply("b")}, 404, "no such thing", []int{1, 0}},
	{"an unconfirmed promise of no execution", "/once/x", []reply{unconfirmedReply, okReply("b")}, 502, "", []int{1, 0}},
	{"an unconfirmed promise of no execution, repeatable", "/many/x", []reply{unconfirmedReply, unconfirmedReply}, 502, "", []int{1, 1}},
	{"a success without a seal", "/once/x", []reply{unsealedReply, okReply("b")}, 502, "", []int{1, 0}},
	{"a failure without a seal", "/once/x", []reply{unsealedFailure, okReply("b")}, 502, "", []int{1, 0}},
	{"a failure without a seal, repeatable", "/many/x", []reply{unsealedFailure, okReply("b")}, 200, "b", []int{1, 1}},
	{"an error of the client without a seal", "/once/x", []reply{unsealedNotFound, okReply("b")}, 502, "", []int{1, 0}},
	{"a response to another request", "/once/x", []reply{otherRequestReply, okReply("b")}, 502, "", []int{1, 0}},
	{"a response to another request, repeatable", "/many/x", []reply{surplusReply, okReply("b")}, 200, "b", []int{1, 1}},
	{"no backends", "/many/x", nil, 503, "", nil},
}

func TestAttempts(t *testing.T) {
	for _, c := range attemptCases {
		t.Run(c.name, func(t *testing.T) {
			var backends []*backend
			for _, respond := range c.backends {
				backends = append(backends, startBackend(t, respond))
			}
			s := startTestProxy(t, nil, backends...)
			a := s.post(t, c.path)
			if a.StatusCode != c.status || a.err != nil {
				t.Errorf("response: got %d %q %v, want %d", a.StatusCode, a.body, a.err, c.status)
			}
			if counts := s.requestCounts(); !slices.Equal(counts, c.counts) {
				t.Errorf("requests by backend: got %v, want %v", counts, c.counts)
			}
			sealed := a.Header.Get(forward.HeaderResponseSeal) != ""
			if sealed != (c.body != "") || sealed && a.body != c.body {
				t.Errorf("response: got body %q and header %v, want body %q of the backend", a.body, a.Header, c.body)
			}
			if a.Header.Get(forward.HeaderAttemptID) != testID {
				t.Errorf("%s: got %q, want %q", forward.HeaderAttemptID, a.Header.Get(forward.HeaderAttemptID), testID)
			}
			seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
			if promised := a.StatusCode == 503; promised != (err == nil) || promised && !(seconds > 0 && seconds < 1) {
				t.Errorf("Retry-After: got %q, want between 0 and 1 with status 503 only", a.Header.Get("Retry-After"))
			}
		})
	}
}

func TestOutcomesAndLoadsAreReportedToAdmission(t *testing.T) {
	full := startBackend(t, replyAndClose(responseText(503, notExecutedField+loadField, "")))
	broken := startBackend(t, closeWithoutReply)
	good := startBackend(t, replyAndClose(responseText(200, sealField+"Nickelline-Server-Load: 1,0,8\r\n", "")))
	s := startTestProxy(t, nil, full, broken, good)
	s.roundTrip(t, requestText("/many/x", "Nickelline-Token-Usage: 1460,80\r\nNickelline-Prompt-Prefix: 5c:800, 91:410,e4:250\r\n", ""))
	want := []admission.Outcome{admission.Full, admission.Failed, admission.OK}
	if !slices.Equal(s.outcomes, want) {
		t.Errorf("outcomes: got %v, want %v", s.outcomes, want)
	}
	loads := []admission.Load{{Running: 8, Waiting: 2, Slots: 8}, {Running: 1, Waiting: 0, Slots: 8}}
	if !slices.Equal(s.loads, loads) {
		t.Errorf("loads: got %v, want %v", s.loads, loads)
	}
	request := s.admissionRequests[0]
	if request.Tokens != 1540 || request.Priority != 0 || request.Batch || request.Prefix != nil {
		t.Errorf("admission request: got %+v, want Tokens 1540, Priority 0, Batch false, no Prefix", request)
	}
}

func TestPromptSegments(t *testing.T) {
	for text, want := range map[string][]string{"": nil, "5c:800, 91:410,e4:250": {"5c", "91", "e4"}, "5c": {"5c"}} {
		if got := promptSegments(text); !slices.Equal(got, want) {
			t.Errorf("promptSegments(%q): got %v, want %v", text, got, want)
		}
	}
}

func TestUnreachableBackends(t *testing.T) {
	next := netip.MustParseAddr("127.1.0.0")
	unreachable := func() *backend {
		next = next.Next()
		b := startBackend(t, okReply(""))
		b.Address = netip.AddrPortFrom(next, 1)
		return b
	}
	good := startBackend(t, okReply("a"))
	if a := startTestProxy(t, nil, unreachable(), unreachable(), good).post(t, "/once/x"); a.StatusCode != 200 {
		t.Errorf("status: got %d, want %d", a.StatusCode, 200)
	}
	if a := startTestProxy(t, nil, unreachable(), unreachable(), unreachable(), good).post(t, "/once/x"); a.StatusCode != 503 {
		t.Errorf("status: got %d, want %d", a.StatusCode, 503)
	}
}

func TestDeadline(t *testing.T) {
	for _, path := range []string{"/once/x", "/many/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			// On a busy machine a short timeout may expire before the request is sent: the check is then repeated with a
			// longer one.
			const most = 5 * time.Second
			for allowed := 80 * time.Millisecond; !checkDeadline(t, path, allowed); allowed *= 2 {
				if allowed > most {
					t.Fatalf("no request reached the backend within %v", allowed)
				}
			}
		})
	}
}

// checkDeadline sends a request with a timeout to a proxy whose first backend does not respond. It checks the response
// and the requests that the backends received, and reports whether the request reached a backend.
func checkDeadline(t *testing.T, path string, allowed time.Duration) (reached bool) {
	t.Helper()
	unresponsive := startBackend(t, replyAndKeepOpen(""))
	s := startTestProxy(t, nil, unresponsive, startBackend(t, okReply("")))
	began := time.Now()
	a := s.roundTrip(t, requestText(path, fmt.Sprintf("%s: %d\r\n", forward.HeaderDeadlineRemaining, allowed.Milliseconds()), ""))
	if took := time.Since(began); a.StatusCode != 504 || took > allowed+time.Second {
		t.Errorf("response: got %d after %v, want 504 within %v", a.StatusCode, took, allowed+time.Second)
	}
	var first received
	select {
	case first = <-unresponsive.requests:
	case <-time.After(allowed):
		return false
	}
	if counts := s.requestCounts(); !slices.Equal(counts, []int{0, 0}) {
		t.Errorf("further requests by backend: got %v, want none", counts)
	}
	remaining, _ := strconv.Atoi(first.Header.Get(forward.HeaderDeadlineRemaining))
	if most := int(allowed.Milliseconds()); remaining <= 0 || remaining > most {
		t.Errorf("%s: got %d, want 1 to %d", forward.HeaderDeadlineRemaining, remaining, most)
	}
	return true
}

func TestRouteTimeout(t *testing.T) {
	s := startTestProxy(t, nil, startBackend(t, replyAndKeepOpen("")))
	if a := s.roundTrip(t, requestText("/short/x", "Nickelline-Deadline-Remaining-Ms: 9000\r\n", "")); a.StatusCode != 504 {
		t.Errorf("status: got %d, want %d", a.StatusCode, 504)
	}
}

func TestRequestWithoutTimeLeftIsNotSent(t *testing.T) {
	b := startBackend(t, okReply(""))
	s := startTestProxy(t, nil, b)
	if a := s.roundTrip(t, requestText("/many/x", "Nickelline-Deadline-Remaining-Ms: 3\r\n", "")); a.StatusCode != 503 {
		t.Errorf("status: got %d, want %d", a.StatusCode, 503)
	}
	if len(b.requests) > 0 {
		t.Error("the request was sent")
	}
}

func TestNoRetryThatCannotBeInTime(t *testing.T) {
	s := startTestProxy(t, nil, startBackend(t, closeWithoutReply), startBackend(t, okReply("")))
	if a := s.roundTrip(t, requestText("/many/x", "Nickelline-Deadline-Remaining-Ms: 90\r\n", "")); a.StatusCode != 504 {
		t.Errorf("status: got %d, want %d", a.StatusCode, 504)
	}
	if counts := s.requestCounts(); !slices.Equal(counts, []int{1, 0}) {
		t.Errorf("requests by backend: got %v, want %v", counts, []int{1, 0})
	}
}

func TestHeadHasNoBody(t *testing.T) {
	b := startBackend(t, replyAndClose("HTTP/1.1 200 OK\r\nNickelline-Attempt-Id: ID\r\n"+sealField+"Content-Length: 5\r\n\r\n"))
	s := startTestProxy(t, nil, b)
	c := s.connect(t)
	c.send(t, strings.Replace(requestText("/many/x", "", ""), "POST", "HEAD", 1))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	if err != nil || response.StatusCode != 200 {
		t.Errorf("response: got %v, %v, want status 200", response, err)
	}
}

// fakeQuota is a QuotaLimiter with a number of tokens.
type fakeQuota struct {
	mutex    sync.Mutex
	tokens   int
	refunded chan struct{}
}

func (q *fakeQuota) Take(_ context.Context, tenant *configuration.Tenant) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.tokens == 0 {
		return fault.New(fault.QuotaExceeded, "%s has no token", tenant.Name)
	}
	q.tokens--
	return nil
}

func (q *fakeQuota) Refund(*configuration.Tenant, time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.tokens++
	q.refunded <- struct{}{}
}

func (q *fakeQuota) left() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tokens
}

func TestQuota(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond reply
		status  int
		left    int
	}{
		{"run", okReply(""), 200, 0},
		{"may have run", closeWithoutReply, 502, 0},
		{"not run", replyAndClose(responseText(503, notExecutedField, "")), 503, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBackend(t, c.respond)
			quota := &fakeQuota{tokens: 1, refunded: make(chan struct{}, 1)}
			s := startTestProxy(t, func(o *Options) { o.Quota = quota }, b)
			if a := s.post(t, "/once/x"); a.StatusCode != c.status {
				t.Errorf("status: got %d, want %d", a.StatusCode, c.status)
			}
			if c.left > 0 {
				wait(t, quota.refunded, "refund of the token")
			}
			if left := quota.left(); left != c.left {
				t.Errorf("tokens left: got %d, want %d", left, c.left)
			}
			if c.left > 0 {
				return
			}
			if a := s.post(t, "/once/x"); a.StatusCode != 429 || a.Header.Get("Retry-After") == "" || len(b.requests) > 1 {
				t.Errorf("beyond the quota: got status %d and %d requests sent, want 429 and at most 1", a.StatusCode, len(b.requests))
			}
			if a := s.post(t, "/open/x"); a.StatusCode == 429 {
				t.Error("a public request was counted against the quota")
			}
		})
	}
}

func TestRetryAfterIsRandomized(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		text := formatRetryAfter(200 * time.Millisecond)
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds < 0.15 || seconds > 0.25 {
			t.Fatalf("formatRetryAfter: got %q, want 0.15 to 0.25", text)
		}
		seen[text] = true
	}
	if len(seen) < 20 {
		t.Errorf("distinct values of Retry-After: got %d, want at least 20", len(seen))
	}
	err := fmt.Errorf("wrapped: %w", &retryAfterError{errors.New("x"), time.Second})
	if after := retryAfter(err); after != time.Second {
		t.Errorf("retryAfter: got %v, want 1s", after)
	}
}
