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

// What comes back from a backend, and what the module may make of it: an unsafe request is refused only if it
// has never run.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
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
		"silent close":     {"", 502, decide.Reset},
		"garbage":          {"\x00\x01 what\r\n\r\n", 502, decide.Reset},
		"truncated":        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nx", 502, decide.Reset},
		"truncated chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx", 502, decide.Reset},
		"no end":           {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nx", 502, decide.Reset},
		"huge header":      {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
		"large":            {okResponse(strings.Repeat("x", 6*maxBody)), 200, decide.OK},
		"too large":        {okResponse(strings.Repeat("x", maxAnswerBody+1)), 502, decide.Reset},
		"too large chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 20), 502, decide.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startBackend(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, c.reply)
				}
			})
			b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
			b.update(knownBackends(addr))
			if r := b.do(t.Context(), b.Find(1), get(patient)); r.code != c.code {
				t.Errorf("outcome %v (%v), want %v", r.code, r.err, c.code)
			}
			n := startNode(t, &Config{Settings: testSettings(), KnownBackends: knownBackends(addr)})
			if resp, _ := n.ask(t, message("order", "9.5", "")); resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
}

func get(wait time.Duration) *exchange {
	return &exchange{method: "GET", url: &url.URL{Path: "/read", Host: "h"}, deadline: time.Now().Add(wait)}
}

// A request on a connection that breaks goes out once: a library's own second try would be an attempt that the
// module knows nothing of.
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
	n := startNode(t, &Config{Settings: testSettings(), KnownBackends: knownBackends(addr)})
	for i, want := range []int{200, 503} {
		if resp, _ := n.ask(t, message("read", "9.5", "")); resp.StatusCode != want {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
		time.Sleep(2 * minRest)
	}
	if got.Load() != 2 {
		t.Errorf("the backend got %d requests, want 2", got.Load())
	}
}

// What comes behind a good answer, at once or late, is never taken for the next request's.
func TestNothingLeftOver(t *testing.T) {
	t.Parallel()
	for name, more := range map[string]string{"copy": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "start of one": "HTTP/1"} {
		for _, late := range []time.Duration{0, minRest / 2, 10 * minRest} {
			sent := make(chan struct{}, 9)
			addr := startBackend(t, inPieces(func(c net.Conn) {
				if late == 0 {
					io.WriteString(c, okResponse("right")+more)
				} else {
					io.WriteString(c, okResponse("right"))
					time.Sleep(late)
					io.WriteString(c, more)
				}
				sent <- struct{}{}
			}))
			b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
			b.update(knownBackends(addr))
			for range 3 {
				if r := b.do(t.Context(), b.Find(1), get(patient)); r.code != decide.OK || string(r.body) != "right" {
					t.Errorf("%s after %v: %v %q", name, late, r.code, r.body)
				}
				receive(t, "the end of an answer", sent)
				if text, open := "", true; late > 0 && len(b.Idle(b.Find(1))) > 0 { // what has been written comes
					c := b.Idle(b.Find(1))[0]
					for end := time.Now().Add(patient); text == "" && open && time.Now().Before(end); text, open = c.Unread() {
						time.Sleep(time.Millisecond)
					}
				}
			}
			b.update(list{full: true})
		}
	}
}

// A connection rests after an answer: what comes right behind it may come only when it would be in use again.
func TestRest(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
	b.update(knownBackends(addr))
	h := b.Find(1)
	opened := 0
	for _, rested := range []time.Duration{0, 0, minRest} {
		eventually(t, "rested", func() bool {
			idle := b.Idle(h)
			return len(idle) == 0 || time.Since(idle[len(idle)-1].IdleSince()) >= rested
		})
		open := b.Open()
		r := b.do(t.Context(), h, get(patient))
		if r.code != decide.OK || r.opened && rested > 0 {
			t.Errorf("rested %v: %v, opened %v", rested, r.code, r.opened)
		}
		if r.opened != (b.Open() > open) {
			t.Errorf("rested %v: opened %v, connections %d and then %d", rested, r.opened, open, b.Open())
		}
		if r.opened {
			opened++
		}
	}
	if opened == 0 || opened != b.Open() {
		t.Errorf("%d requests opened a connection, and %d are open", opened, b.Open())
	}
	b.update(list{full: true})
}

// inPieces is answering for what is written in pieces.
func inPieces(reply func(net.Conn)) func(net.Conn) {
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

// A report counts only if all of it makes sense.
func TestReport(t *testing.T) {
	t.Parallel()
	if r := parseReport("inflight=7,queue=2"); r == nil || r.InFlight != 7 || r.Queue != 2 {
		t.Errorf("%+v", r)
	}
	for _, text := range []string{"", "=,=", "%%%", `{"`, "inflight=-1", "inflight=NaN", "inflight=Inf", "inflight=1e30", "inflight=7,queue", "inflight=7,=", "other=1"} {
		if r := parseReport(text); r != nil {
			t.Errorf("%q: %+v", text, r)
		}
	}
}

// A new backend at the address of one that is still listed has taken its place: nothing goes to the old one, nor
// on its connections.
func TestAddressTakenOver(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
	b.update(knownBackends(addr))
	if r := b.do(t.Context(), b.Find(1), get(patient)); r.code != decide.OK || b.Open() != 1 {
		t.Fatalf("%v, %d open", r.code, b.Open())
	}
	news := knownBackends(addr, addr)
	news.entries[1].StartedAt = 1
	for _, full := range []bool{false, true} {
		news.full = full
		b.update(news)
		if r := b.do(t.Context(), b.Find(1), get(patient)); r.code != decide.ConnectFailed {
			t.Errorf("the old one: %v, %d open", r.code, b.Open())
		}
		if r := b.do(t.Context(), b.Find(2), get(patient)); r.code != decide.OK || b.Open() != 1 {
			t.Errorf("the new one: %v, %d open", r.code, b.Open())
		}
		time.Sleep(2 * minRest)
	}
	b.update(list{full: true})
}

// A machine that says nothing when connected to takes a part of the descriptors only.
func TestDialsBounded(t *testing.T) {
	t.Parallel()
	b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 16, quiet)
	b.update(knownBackends("127.0.0.1:1"))
	h := b.Find(1)
	const most = 2
	dials, let := make(chan struct{}, most), make(chan struct{})
	wrapDial(b, func(dial upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, network, addr string, deadline time.Time) (net.Conn, error) {
			dials <- struct{}{}
			<-let
			return dial(ctx, network, addr, deadline)
		}
	})
	var under sync.WaitGroup
	for range most {
		under.Go(func() { b.do(t.Context(), h, get(patient)) })
		receive(t, "a dial", dials)
	}
	if r := b.do(t.Context(), h, get(patient)); r.code != decide.NotSent || b.Open() != most {
		t.Errorf("%v (%v), %d open", r.code, r.err, b.Open())
	}
	close(let)
	under.Wait()
	if b.Open() != 0 {
		t.Errorf("%d open when all have failed", b.Open())
	}
}

// A connection that the backend has closed while it was idle is not written to.
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
	n := startNode(t, &Config{Settings: testSettings(), KnownBackends: knownBackends(addr)})
	for range 5 {
		if resp, _ := n.askUntilServed(t, message("order", "9.5", "")); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
		receive(t, "the close", closed)
	}
}

// After connecting, what has changed in the meantime counts: nothing is written.
func TestLookAgainBeforeWriting(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { got.Add(1); return okResponse("x") }))
	fresh := func() (*transport, *upstream.Backend) {
		b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
		b.update(knownBackends(addr))
		return b, b.Find(1)
	}
	for name, c := range map[string]struct {
		change func(*transport, *exchange, context.CancelFunc)
		want   decide.OutcomeCode
	}{
		"draining": {func(b *transport, _ *exchange, _ context.CancelFunc) {
			l := knownBackends(addr)
			l.full, l.entries[0].State = false, decide.Draining
			b.update(l)
		}, decide.ConnectFailed},
		"gone from the list": {func(b *transport, _ *exchange, _ context.CancelFunc) { b.update(list{full: true}) }, decide.ConnectFailed},
		"restarted": {func(b *transport, _ *exchange, _ context.CancelFunc) {
			l := knownBackends(addr)
			l.entries[0].StartedAt = 1
			b.update(l)
		}, decide.ConnectFailed},
		"window over": {func(_ *transport, x *exchange, _ context.CancelFunc) { x.writeBefore = time.Now() }, decide.NotSent},
		"too late":    {func(_ *transport, x *exchange, _ context.CancelFunc) { x.deadline = time.Now() }, decide.ConnectFailed},
		"called off":  {func(_ *transport, _ *exchange, cancel context.CancelFunc) { cancel() }, decide.Cancelled},
	} {
		b, h := fresh()
		// An idle connection, so that connecting succeeds whatever the time.
		c1, err := b.Acquire(t.Context(), h, time.Now().Add(patient))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		x := get(patient)
		b.Release(c1, true)
		c.change(b, x, cancel)
		if r := b.do(ctx, h, x); r.code != c.want {
			t.Errorf("%s: outcome %v (%v), want %v", name, r.code, r.err, c.want)
		}
		cancel()
		b.update(list{full: true})
		if b.Open() != 0 {
			t.Errorf("%s: %d connections left", name, b.Open())
		}
	}
	if got.Load() > 0 {
		t.Errorf("the backend got %d requests", got.Load())
	}
}

// A refused connection never ran, and the bound on connections is kept, by closing idle ones first.
func TestConnecting(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	other := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	refused, err := net.Dial("tcp", addr) // nobody listens at its own end, and nobody else can
	if err != nil {
		t.Fatal(err)
	}
	defer refused.Close()
	b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 1, quiet)
	b.update(knownBackends(addr, other, refused.LocalAddr().String()))
	for i, want := range map[decide.BackendID]decide.OutcomeCode{1: decide.OK, 2: decide.OK, 3: decide.ConnectFailed, 4: decide.ConnectFailed} {
		if r := b.do(t.Context(), b.Find(i), get(patient)); r.code != want {
			t.Errorf("backend %d: %v (%v)", i, r.code, r.err)
		}
	}
	held, err := b.Acquire(t.Context(), b.Find(1), time.Now().Add(patient))
	if err != nil {
		t.Fatal(err)
	}
	if r := b.do(t.Context(), b.Find(2), get(patient)); r.code != decide.NotSent { // the backend is not to blame
		t.Errorf("beyond the bound: %v", r.code)
	}
	b.Release(held, true)
	b.CloseIdle(1)
	if b.Open() != 0 {
		t.Errorf("%d connections left", b.Open())
	}
}

// A backend that let an attempt time out in silence may have been cut off: its idle connections are not used
// again. One that has answered in the meantime keeps them.
func TestSilenceClosesIdle(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	for heard, want := range map[bool]int{false: 0, true: 1} {
		b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
		b.update(knownBackends(addr))
		h := b.Find(1)
		var conns [2]*upstream.Conn
		for i := range conns {
			var err error
			if conns[i], err = b.Acquire(t.Context(), h, time.Now().Add(patient)); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range conns {
			b.Release(c, true)
		}
		time.Sleep(2 * minRest)
		if heard {
			b.RecordAnswer(h, time.Now().Add(patient))
		}
		if r := b.do(t.Context(), h, get(time.Second)); r.code != decide.TimedOut {
			t.Errorf("outcome %v (%v)", r.code, r.err)
		}
		if kept := len(b.Idle(h)); kept != want {
			t.Errorf("heard of it: %v; %d idle connections kept, want %d", heard, kept, want)
		}
		b.update(list{full: true})
	}
}
