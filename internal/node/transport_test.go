package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nickelline/decide"
	"nickelline/internal/upstream"
)

// outcomeCases are responses of a backend, by what is special about them, with the client's status and the outcome of the attempt.
var outcomeCases = map[string]struct {
	reply  string
	status int
	code   decide.OutcomeCode
}{
	"served":           {okResponse("x"), 200, decide.OK},
	"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 200, decide.OK},
	"interim":          {"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("x"), 200, decide.OK},
	"many interim":     {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + okResponse("x"), 200, decide.OK},
	"endless interim":  {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<15), 502, decide.Reset},
	"another protocol": {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + okResponse("x"), 502, decide.Reset},
	"copy behind":      {okResponse("x") + okResponse("x"), 200, decide.OK},
	"part of a copy":   {okResponse("x") + "HTT", 200, decide.OK},
	"noise behind":     {okResponse("x") + "\x8e1\xc0", 502, decide.Reset},
	"short length":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabcd", 502, decide.Reset},
	"short by much":    {"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 20000), 502, decide.Reset},
	"two lengths":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd", 502, decide.Reset},
	"negative length":  {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4\r\n\r\nabcd", 502, decide.Reset},
	"no end of length": {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), 502, decide.Reset},
	"odd report":       {"HTTP/1.1 200 OK\r\nX-Backend-Load: =,=\r\nContent-Length: 1\r\n\r\nx", 200, decide.OK},
	"client's fault":   {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 404, decide.Cancelled},
	"error":            {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 502, decide.BackendError},
	"503 without mark": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 502, decide.BackendError},
	"turned away":      {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 503, decide.Full},
	"too late":         {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 503, decide.Full},
	"500 with mark":    {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 502, decide.BackendError},
	"blank in a name":  {"HTTP/1.1 200 OK\r\nX A: a\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
	"blank behind it":  {"HTTP/1.1 200 OK\r\nX-A : a\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
	"mark, bad name":   {"HTTP/1.1 503 No\r\nX A: a\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 502, decide.Reset},
	"fault, bad name":  {"HTTP/1.1 404 Not Found\r\nX A: a\r\nContent-Length: 0\r\n\r\n", 502, decide.Reset},
	"folded line":      {"HTTP/1.1 200 OK\r\nX-A: a\r\n X-B: b\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
	"bad interim":      {"HTTP/1.1 103 Early Hints\r\nX A: a\r\n\r\n" + okResponse("x"), 502, decide.Reset},
	"status 000":       {"HTTP/1.1 000 x\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
	"000 before":       {"HTTP/1.1 000 x\r\n\r\n" + okResponse("x"), 502, decide.Reset},
	"status 999":       {"HTTP/1.1 999 x\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
	"HTTP/2.0":         {"HTTP/2.0 200 OK\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
	"silent close":     {"", 502, decide.Reset},
	"garbage":          {"\x00\x01 what\r\n\r\n", 502, decide.Reset},
	"truncated":        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nx", 502, decide.Reset},
	"truncated chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx", 502, decide.Reset},
	"no end":           {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nx", 502, decide.Reset},
	"huge header":      {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
	"large":            {okResponse(strings.Repeat("x", 6*maxBody)), 200, decide.OK},
	"too large":        {okResponse(strings.Repeat("x", maxResponseBody+1)), 502, decide.Reset},
	"too large chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 20), 502, decide.Reset},
}

// Checks the outcome and the client's status for each kind of response from a backend. An unsafe request is refused
// only if it has not run.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	for name, c := range outcomeCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startBackend(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, c.reply)
				}
			})
			tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, discardLog)
			tr.update(readyBackends(addr))
			if r := tr.do(t.Context(), tr.Find(1), getExchange(testTimeout)); r.code != c.code {
				t.Errorf("got outcome %v (%v), want %v", r.code, r.err, c.code)
			}
			n := startNode(t, &Config{Settings: testSettings(), KnownBackends: readyBackends(addr)})
			if resp, _ := n.sendRequest(t, requestText("order", "9.5", "")); resp.StatusCode != c.status {
				t.Errorf("got status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
}

// getExchange returns an exchange of a GET request with a timeout.
func getExchange(wait time.Duration) *exchange {
	return &exchange{method: "GET", url: &url.URL{Path: "/read", Host: "h"}, deadline: time.Now().Add(wait)}
}

// A request on a connection that breaks is sent only once: a retry by a library would be an attempt that the module
// does not know of.
func TestNoHiddenResend(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := startBackend(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			got.Add(1)
			if n == 1 {
				return
			}
			io.WriteString(c, okResponse("x"))
		}
	})
	n := startNode(t, &Config{Settings: testSettings(), KnownBackends: readyBackends(addr)})
	for i, want := range []int{200, 503} {
		if resp, _ := n.sendRequest(t, requestText("read", "9.5", "")); resp.StatusCode != want {
			t.Errorf("request %d: got status %d, want %d", i, resp.StatusCode, want)
		}
		time.Sleep(2 * minIdleBeforeReuse)
	}
	if got.Load() != 2 {
		t.Errorf("the backend got %d requests, want 2", got.Load())
	}
}

// Data that follows a valid response, at once or later, is never taken for the response to the next request.
func TestNothingLeftOver(t *testing.T) {
	t.Parallel()
	for name, more := range map[string]string{"copy": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "start of one": "HTTP/1"} {
		for _, late := range []time.Duration{0, minIdleBeforeReuse / 2, 10 * minIdleBeforeReuse} {
			sent := make(chan struct{}, 9)
			addr := startBackend(t, respondAfterRequest(func(c net.Conn) {
				if late == 0 {
					io.WriteString(c, okResponse("right")+more)
				} else {
					io.WriteString(c, okResponse("right"))
					time.Sleep(late)
					io.WriteString(c, more)
				}
				sent <- struct{}{}
			}))
			tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, discardLog)
			tr.update(readyBackends(addr))
			for range 3 {
				if r := tr.do(t.Context(), tr.Find(1), getExchange(testTimeout)); r.code != decide.OK || string(r.body) != "right" {
					t.Errorf("%s after %v: got outcome %v, body %q, want OK and the right body", name, late, r.code, r.body)
				}
				receive(t, "the end of a response", sent)
				if text, open := "", true; late > 0 && len(tr.Idle(tr.Find(1))) > 0 { // wait until the node has received the data
					c := tr.Idle(tr.Find(1))[0]
					for end := time.Now().Add(testTimeout); text == "" && open && time.Now().Before(end); text, open = c.Unread() {
						time.Sleep(time.Millisecond)
					}
				}
			}
			tr.update(backendList{full: true})
		}
	}
}

// A connection is not reused right after a response: excess data behind the response might arrive only during the next
// request.
func TestRest(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, discardLog)
	tr.update(readyBackends(addr))
	backend := tr.Find(1)
	opened := 0
	for _, rested := range []time.Duration{0, 0, minIdleBeforeReuse} {
		eventually(t, "an idle connection past minIdleBeforeReuse", func() bool {
			idle := tr.Idle(backend)
			return len(idle) == 0 || time.Since(idle[len(idle)-1].IdleSince()) >= rested
		})
		open := tr.Open()
		r := tr.do(t.Context(), backend, getExchange(testTimeout))
		if r.code != decide.OK || r.opened && rested > 0 {
			t.Errorf("idle for %v: got outcome %v, opened %v, want OK on an existing connection if it was idle", rested, r.code, r.opened)
		}
		if r.opened != (tr.Open() > open) {
			t.Errorf("idle for %v: got opened %v, but %d open connections before and %d after", rested, r.opened, open, tr.Open())
		}
		if r.opened {
			opened++
		}
	}
	if opened == 0 || opened != tr.Open() {
		t.Errorf("got %d requests that opened a connection and %d open connections, want equal numbers above 0", opened, tr.Open())
	}
	tr.update(backendList{full: true})
}

// respondAfterRequest returns a function that reads requests and calls reply after each.
func respondAfterRequest(reply func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			reply(c)
		}
	}
}

// A load report is accepted only if all of it is valid.
func TestInvalidLoadReportIsIgnored(t *testing.T) {
	t.Parallel()
	if r := parseLoadReport("inflight=7,queue=2"); r == nil || r.InFlight != 7 || r.Queue != 2 {
		t.Errorf("valid report: got %+v, want InFlight 7 and Queue 2", r)
	}
	for _, text := range []string{"", "=,=", "%%%", `{"`, "inflight=-1", "inflight=NaN", "inflight=Inf", "inflight=1e30", "inflight=7,queue", "inflight=7,=", "other=1"} {
		if r := parseLoadReport(text); r != nil {
			t.Errorf("report %q: got %+v, want nil", text, r)
		}
	}
}

// A new backend at the address of a listed one replaces it: no request goes to the old backend or uses its connections.
func TestAddressTakenOver(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, discardLog)
	tr.update(readyBackends(addr))
	if r := tr.do(t.Context(), tr.Find(1), getExchange(testTimeout)); r.code != decide.OK || tr.Open() != 1 {
		t.Fatalf("first request: got outcome %v and %d open connections, want OK and 1", r.code, tr.Open())
	}
	replaced := readyBackends(addr, addr)
	replaced.entries[1].StartedAt = 1
	for _, full := range []bool{false, true} {
		replaced.full = full
		tr.update(replaced)
		if r := tr.do(t.Context(), tr.Find(1), getExchange(testTimeout)); r.code != decide.ConnectFailed {
			t.Errorf("old backend: got outcome %v (%d open connections), want ConnectFailed", r.code, tr.Open())
		}
		if r := tr.do(t.Context(), tr.Find(2), getExchange(testTimeout)); r.code != decide.OK || tr.Open() != 1 {
			t.Errorf("new backend: got outcome %v and %d open connections, want OK and 1", r.code, tr.Open())
		}
		time.Sleep(2 * minIdleBeforeReuse)
	}
	tr.update(backendList{full: true})
}

// Dials to a machine that does not respond use only a part of the descriptors.
func TestDialsBounded(t *testing.T) {
	t.Parallel()
	tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 16, discardLog)
	tr.update(readyBackends("127.0.0.1:1"))
	backend := tr.Find(1)
	const maxDials = 2
	dials, proceed := make(chan struct{}, maxDials), make(chan struct{})
	wrapDial(tr, func(dial upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, network, addr string, deadline time.Time) (net.Conn, error) {
			dials <- struct{}{}
			<-proceed
			return dial(ctx, network, addr, deadline)
		}
	})
	var attempts sync.WaitGroup
	for range maxDials {
		attempts.Go(func() { tr.do(t.Context(), backend, getExchange(testTimeout)) })
		receive(t, "a dial", dials)
	}
	if r := tr.do(t.Context(), backend, getExchange(testTimeout)); r.code != decide.NotSent || tr.Open() != maxDials {
		t.Errorf("beyond the bound: got outcome %v (%v) and %d open connections, want NotSent and 2", r.code, r.err, tr.Open())
	}
	close(proceed)
	attempts.Wait()
	if tr.Open() != 0 {
		t.Errorf("after all dials failed: got %d open connections, want 0", tr.Open())
	}
}

// No request is written to a connection that the backend closed while it was idle.
func TestIdleClosedByBackend(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 9)
	addr := startBackend(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, okResponse("x"))
		}
		c.Close()
		closed <- struct{}{}
	})
	n := startNode(t, &Config{Settings: testSettings(), KnownBackends: readyBackends(addr)})
	for range 5 {
		if resp, _ := n.sendUntilServed(t, requestText("order", "9.5", "")); resp.StatusCode != 200 {
			t.Fatalf("got status %d, want 200", resp.StatusCode)
		}
		receive(t, "the close", closed)
	}
}

// Changes during connecting take effect: the conditions for an attempt are checked again before the request is written.
func TestLookAgainBeforeWriting(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { got.Add(1); return okResponse("x") }))
	newTestTransport := func() (*transport, *upstream.Backend) {
		tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, discardLog)
		tr.update(readyBackends(addr))
		return tr, tr.Find(1)
	}
	for name, c := range map[string]struct {
		change func(*transport, *exchange, context.CancelFunc)
		want   decide.OutcomeCode
	}{
		"draining": {func(tr *transport, _ *exchange, _ context.CancelFunc) {
			l := readyBackends(addr)
			l.full, l.entries[0].State = false, decide.Draining
			tr.update(l)
		}, decide.ConnectFailed},
		"gone from the list": {func(tr *transport, _ *exchange, _ context.CancelFunc) { tr.update(backendList{full: true}) }, decide.ConnectFailed},
		"restarted": {func(tr *transport, _ *exchange, _ context.CancelFunc) {
			l := readyBackends(addr)
			l.entries[0].StartedAt = 1
			tr.update(l)
		}, decide.ConnectFailed},
		"window over": {func(_ *transport, x *exchange, _ context.CancelFunc) { x.writeBefore = time.Now() }, decide.NotSent},
		"too late":    {func(_ *transport, x *exchange, _ context.CancelFunc) { x.deadline = time.Now() }, decide.ConnectFailed},
		"called off":  {func(_ *transport, _ *exchange, cancel context.CancelFunc) { cancel() }, decide.Cancelled},
	} {
		tr, backend := newTestTransport()
		// An idle connection, so that acquiring one succeeds whatever the deadline.
		c1, err := tr.Acquire(t.Context(), backend, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		x := getExchange(testTimeout)
		tr.Release(c1, true)
		c.change(tr, x, cancel)
		if r := tr.do(ctx, backend, x); r.code != c.want {
			t.Errorf("%s: got outcome %v (%v), want %v", name, r.code, r.err, c.want)
		}
		cancel()
		tr.update(backendList{full: true})
		if tr.Open() != 0 {
			t.Errorf("%s: got %d open connections, want 0", name, tr.Open())
		}
	}
	if got.Load() > 0 {
		t.Errorf("got %d requests at the backend, want none", got.Load())
	}
}

// A request whose connection is refused has not run. The limit of connections holds, and idle connections are closed
// first to stay below it.
func TestConnecting(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	other := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	refused, err := net.Dial("tcp", addr) // nothing listens on its local port, and nothing else can take the port
	if err != nil {
		t.Fatal(err)
	}
	defer refused.Close()
	tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 1, discardLog)
	tr.update(readyBackends(addr, other, refused.LocalAddr().String()))
	for i, want := range map[decide.BackendID]decide.OutcomeCode{1: decide.OK, 2: decide.OK, 3: decide.ConnectFailed, 4: decide.ConnectFailed} {
		if r := tr.do(t.Context(), tr.Find(i), getExchange(testTimeout)); r.code != want {
			t.Errorf("backend %d: got outcome %v (%v)", i, r.code, r.err)
		}
	}
	held, err := tr.Acquire(t.Context(), tr.Find(1), time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	if r := tr.do(t.Context(), tr.Find(2), getExchange(testTimeout)); r.code != decide.NotSent { // the backend is not at fault
		t.Errorf("beyond the limit: got outcome %v, want NotSent", r.code)
	}
	tr.Release(held, true)
	tr.CloseIdle(1)
	if tr.Open() != 0 {
		t.Errorf("after CloseIdle: got %d open connections, want 0", tr.Open())
	}
}

// If an attempt times out without a response, the backend may be cut off from the network, so its idle connections are
// not reused. They are kept if the backend has responded in the meantime.
func TestSilenceClosesIdle(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	for responded, want := range map[bool]int{false: 0, true: 1} {
		tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, discardLog)
		tr.update(readyBackends(addr))
		backend := tr.Find(1)
		var conns [2]*upstream.Conn
		for i := range conns {
			var err error
			if conns[i], err = tr.Acquire(t.Context(), backend, time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range conns {
			tr.Release(c, true)
		}
		time.Sleep(2 * minIdleBeforeReuse)
		if responded {
			tr.RecordResponse(backend, time.Now().Add(testTimeout))
		}
		if r := tr.do(t.Context(), backend, getExchange(time.Second)); r.code != decide.TimedOut {
			t.Errorf("got outcome %v (%v), want TimedOut", r.code, r.err)
		}
		if kept := len(tr.Idle(backend)); kept != want {
			t.Errorf("responded %v: got %d idle connections, want %d", responded, kept, want)
		}
		tr.update(backendList{full: true})
	}
}
