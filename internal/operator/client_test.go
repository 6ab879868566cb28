package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeNode is a node that answers its calls with handlers in turn, with the last one from then on, and records the calls.
type fakeNode struct {
	mutex    sync.Mutex
	handlers []http.HandlerFunc
	calls    []string
	server   *httptest.Server
}

func newFakeNode(t *testing.T, handlers ...http.HandlerFunc) *fakeNode {
	n := &fakeNode{handlers: handlers}
	n.server = httptest.NewServer(n)
	t.Cleanup(n.server.Close)
	return n
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n.mutex.Lock()
	n.calls = append(n.calls, strings.TrimSpace(r.Method+" "+r.URL.Path+" "+r.Header.Get("If-Match")+" "+string(body)))
	handler := n.handlers[min(len(n.calls), len(n.handlers))-1]
	n.mutex.Unlock()
	handler(w, r)
}

func (n *fakeNode) address() string { return strings.TrimPrefix(n.server.URL, "http://") }

func (n *fakeNode) received() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.calls
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func redirectTo(location *string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", *location)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
}

func closeConnection(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// newTestClient returns a client that does not wait between rounds, and gives up after a number of rounds.
func newTestClient(t *testing.T, rounds int, nodes ...*fakeNode) *Client {
	t.Helper()
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.address())
	}
	c, err := New(Options{Nodes: addresses})
	if err != nil {
		t.Fatal(err)
	}
	c.pause = func(context.Context, time.Duration) bool {
		rounds--
		return rounds > 0
	}
	return c
}

func TestFailedCallsAreSentToOtherNodes(t *testing.T) {
	bad := newFakeNode(t, closeConnection, respond(503, `{"error":"no head"}`), respond(504, ""), respond(429, ""), respond(408, ""), respond(500, ""))
	good := newFakeNode(t, respond(503, ""), respond(503, ""), respond(200, `{"version":9}`))
	c := newTestClient(t, 10, bad, good)
	var failures []string
	c.notify = func(_ string, err error) { failures = append(failures, err.Error()) }
	version, err := c.Patch(t.Context(), 7, []byte(`{"version":9}`))
	if err != nil || version != 9 {
		t.Fatalf("Patch: got version %d, %v; want version 9", version, err)
	}
	want := "PATCH /-/configuration 7 {\"version\":9}"
	if calls := good.received(); !reflect.DeepEqual(calls, []string{want, want, want}) {
		t.Errorf("got calls %q, want %q three times", calls, want)
	}
	if len(failures) != 5 || !strings.Contains(failures[2], "no head") {
		t.Errorf("got failures %q, want 5, the third with the reason of the node", failures)
	}
}

func TestRedirections(t *testing.T) {
	var first, second string
	last := newFakeNode(t, respond(200, `{"version":3}`))
	middle := newFakeNode(t, redirectTo(&second))
	front := newFakeNode(t, redirectTo(&first))
	first, second = middle.server.URL+"/-/configuration", last.server.URL+"/-/configuration"
	c := newTestClient(t, 1, front)
	if version, err := c.Put(t.Context(), 0, []byte(`{}`)); err != nil || version != 3 {
		t.Errorf("Put: got version %d, %v; want version 3", version, err)
	}
	if calls := last.received(); !reflect.DeepEqual(calls, []string{"PUT /-/configuration 0 {}"}) {
		t.Errorf("got calls %q, want one PUT", calls)
	}
	loop := "/-/configuration"
	c = newTestClient(t, 1, newFakeNode(t, redirectTo(&loop)))
	var unanswered *UnansweredError
	if _, err := c.Put(t.Context(), 0, []byte(`{}`)); !errors.As(err, &unanswered) || !strings.Contains(err.Error(), "more than 2 redirects") {
		t.Errorf("loop of redirects: got %v, want an UnansweredError that tells of the redirects", err)
	}
}

func TestRefusals(t *testing.T) {
	for status, code := range map[int]int{400: ExitInvalid, 404: ExitNotFound, 409: ExitConflict, 412: ExitConflict, 413: ExitInvalid} {
		n := newFakeNode(t, respond(status, `{"error":"why"}`))
		c := newTestClient(t, 5, n)
		err := c.Retire(t.Context(), "store 1", 10*time.Second)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Text != "why" || refused.ExitCode() != code {
			t.Errorf("status %d: got %v, want a RefusedError with exit code %d", status, err, code)
		}
		if calls := n.received(); !reflect.DeepEqual(calls, []string{`POST /-/retire/store 1  {"durationS":10}`}) {
			t.Errorf("status %d: got calls %q, want one POST", status, calls)
		}
	}
}

func TestUnansweredCalls(t *testing.T) {
	n := newFakeNode(t, closeConnection)
	c := newTestClient(t, 3, n)
	_, err := c.Put(t.Context(), 0, []byte(`{}`))
	var unanswered *UnansweredError
	if !errors.As(err, &unanswered) || unanswered.ExitCode() != ExitUnanswered || !strings.Contains(err.Error(), "may have been applied") {
		t.Errorf("Put: got %v, want an UnansweredError that says that the change may have been applied", err)
	}
	if len(n.received()) != 3 {
		t.Errorf("got %d attempts, want 3", len(n.received()))
	}
	_, err = newTestClient(t, 1, n).Configuration(t.Context())
	if !errors.As(err, &unanswered) || strings.Contains(err.Error(), "may have been applied") {
		t.Errorf("Configuration: got %v, want an UnansweredError that tells of no change", err)
	}
}

func TestReadingCalls(t *testing.T) {
	n := newFakeNode(t, respond(200, `{"state":"in_progress"}`), respond(200, `{"state":"completed"}`), respond(200, `{"node":"n-1"}`),
		respond(200, `{"version":1}`), respond(200, `{`))
	c := newTestClient(t, 1, n)
	if done, err := c.IsRetired(t.Context(), "s"); err != nil || done {
		t.Errorf("Retired of a retirement in progress: got %v, %v; want false", done, err)
	}
	if done, err := c.IsRetired(t.Context(), "s"); err != nil || !done {
		t.Errorf("Retired of a completed retirement: got %v, %v; want true", done, err)
	}
	if status, err := c.Status(t.Context()); err != nil || status.Node != "n-1" {
		t.Errorf("Status: got %v, %v; want the status of node n-1", status, err)
	}
	if body, err := c.Configuration(t.Context()); err != nil || string(body) != `{"version":1}` {
		t.Errorf("Configuration: got %s, %v; want version 1", body, err)
	}
	if _, err := c.Status(t.Context()); err == nil {
		t.Error("Status with truncated JSON: got no error, want one")
	}
}

func TestClientNeedsNodes(t *testing.T) {
	if _, err := New(Options{}); err == nil {
		t.Error("New without nodes: got a client, want an error")
	}
	if nodes := SplitNodes("10.0.0.1:1, 10.0.0.2:2,10.0.0.3:3"); len(nodes) != 3 || nodes[1] != "10.0.0.2:2" {
		t.Errorf("SplitNodes: got %v, want 3 addresses", nodes)
	}
}
