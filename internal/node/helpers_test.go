package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nickelline/decide"
	"nickelline/internal/upstream"
)

// patient is how long a test waits for what must come, on a machine of any speed.
const patient = 20 * time.Second

var quiet = slog.New(slog.DiscardHandler)

// testSettings returns settings with a safe, a keyed and an unsafe class.
func testSettings() decide.Settings {
	class := func(name string, e decide.Effect) decide.Class {
		return decide.Class{Name: name, Value: 1, Target: 5 * time.Second, Deadline: 10 * time.Second, Effect: e,
			KeyScope: decide.ScopeCell, DedupWindow: 8 * time.Second}
	}
	return decide.Settings{Nodes: 1, Zone: "z", Zones: []string{"z"}, MaxAttempts: 4, MayOverlap: true, MayCancel: true,
		MayProbe: true, MayRetryAfter: true, MaxRetryAfter: 2 * time.Second, ConnectTimeout: 2 * time.Second,
		ConnIdle: time.Minute, MaxOpen: 100, DrainGrace: 20 * time.Second, ColdFrom: 0.3, ColdTime: time.Second,
		OverloadFactor: 2.5, OverloadTime: time.Second, ReportVia: decide.ReportProbe, MinTick: 5 * time.Millisecond,
		MaxListAge: 10 * time.Second,
		Classes:    []decide.Class{class("read", decide.Safe), class("tag", decide.Keyed), class("order", decide.Unsafe)}}
}

// startBackend listens on a port that the kernel chooses, and returns its address. Each connection is handed to serve.
func startBackend(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			open.Go(func() { defer c.Close(); serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		ended := make(chan struct{})
		go func() { open.Wait(); close(ended) }()
		receive(t, "the end of a backend", ended)
	})
	return l.Addr().String()
}

// receive waits for a value, and ends the test if none comes: a test that waits for ever hides its own failure.
func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(patient):
		t.Fatalf("%s: not within %v", what, patient)
		panic("unreachable")
	}
}

// respondWith returns a function that reads requests and writes what reply returns, until that is nothing.
func respondWith(reply func(*http.Request, []byte) string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			text := reply(req, body)
			if text == "" {
				return
			}
			io.WriteString(c, text)
		}
	}
}

// okResponse returns an answer with a body.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// knownBackends returns a whole list of ready backends at the addresses.
func knownBackends(addrs ...string) list {
	l := list{version: 1, full: true}
	for i, a := range addrs {
		l.entries = append(l.entries, entry{name: fmt.Sprintf("s-%08x", i+1), addr: a, Backend: decide.Backend{ID: decide.BackendID(i + 1), Zone: "z", State: decide.Ready, Size: 1}})
	}
	return l
}

// testNode is a running node.
type testNode struct {
	addr  string
	hup   chan os.Signal
	stop  context.CancelFunc
	ended chan error
}

// startNode starts a node, which the end of the test stops.
func startNode(t *testing.T, c *Config) *testNode {
	t.Helper()
	// The listener is handed over: a port that is chosen, freed and taken again may be another's in between.
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.Sockets == 0 {
		c.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 256}
	}
	if !c.Discovery.IsValid() {
		c.Discovery = netip.MustParseAddrPort(startBackend(t, func(c net.Conn) { io.Copy(io.Discard, c) }))
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{addr: tcp.Addr().String(), hup: make(chan os.Signal), stop: stop, ended: make(chan error, 1)}
	go func() { n.ended <- serve(ctx, c, tcp, n.hup, quiet); close(n.ended) }()
	t.Cleanup(func() { stop(); receive(t, "the end of the node", n.ended) })
	return n // connections wait in the listener's queue until it serves
}

var ids atomic.Int64

// message returns a request of a class whose client waits for so many seconds.
func message(class, left, body string) string {
	method, key := "GET", ""
	if class != "read" {
		method = "POST"
	}
	if class == "tag" {
		key = "Idempotency-Key: k\r\n"
	}
	return fmt.Sprintf("%s /%s?obj=a%%2fb HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: id%d\r\n%sX-Time-Left: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, class, ids.Add(1), key, left, len(body), body)
}

// ask sends text on a connection of its own and reads one answer.
func (n *testNode) ask(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	resp, body, err := n.exchange(text)
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

// askServed is ask by a client that comes again after a refusal, when it was asked to. On a machine that is held up, answers
// seem slow, and the module may refuse for a moment what would be served.
func (n *testNode) askUntilServed(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	for end := time.Now().Add(patient); ; {
		resp, body := n.ask(t, text)
		if resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(end) {
			return resp, body
		}
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			t.Fatalf("a refusal without a time to come back: %v", err)
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

// askLater is ask in a goroutine of its own. Where no answer comes, the test has failed and gets one with no status.
func (n *testNode) askLater(t *testing.T, text string) <-chan *http.Response {
	answered := make(chan *http.Response, 1)
	go func() {
		resp, _, err := n.exchange(text)
		for tries := 1; tries < 10 && errors.Is(err, errSentLate); tries++ {
			resp, _, err = n.exchange(text)
		}
		if err != nil {
			t.Error(err)
			resp = &http.Response{}
		}
		answered <- resp
	}()
	return answered
}

// errSentLate is the fault of a test's slow machine: a connection that has brought nothing for freshLeast may be closed.
var errSentLate = errors.New("nothing was sent for too long")

func (n *testNode) exchange(text string) (*http.Response, string, error) {
	began := time.Now()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		return nil, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patient))
	io.WriteString(c, text)
	late := time.Since(began) >= minFresh
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil && late {
		return nil, "", fmt.Errorf("%w: %w", errSentLate, err)
	}
	if err != nil {
		return nil, "", fmt.Errorf("no answer: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, "", fmt.Errorf("the answer is truncated: %w", err)
	}
	return resp, string(body), nil
}

// waitReady waits until the check of readiness answers with a status.
func (n *testNode) waitReady(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(5 * time.Millisecond) {
		resp, _ := n.ask(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		if resp.StatusCode == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("ready answers %d, want %d", resp.StatusCode, want)
		}
	}
}

// heldNode is a node whose loop, frontend and admission a test reaches directly.
type heldNode struct {
	loop     *loop
	frontend *frontend
	clients  *admission
	addr     string
}

// startHeld starts a node without messages, statistics and draining.
func startHeld(t *testing.T, c *Config) *heldNode {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.Sockets == 0 {
		c.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 256}
	}
	ctx, stop := context.WithCancel(context.Background())
	b := newTransport(c, 100, quiet)
	l := newLoop(ctx, c, b, newDiscovery(c.Discovery, quiet), nil, quiet)
	p := &heldNode{loop: l, frontend: newFrontend(l, 1<<20, quiet), clients: newAdmission(tcp, 100), addr: tcp.Addr().String()}
	srv := p.frontend.server(p.clients)
	ended := make(chan struct{}, 3)
	t.Cleanup(func() {
		stop()
		srv.Close()
		for range cap(ended) {
			receive(t, "the end of the node's parts", ended)
		}
		b.Wait()
	})
	go func() { l.run(c.KnownBackends); ended <- struct{}{} }()
	go func() { b.Run(ctx); ended <- struct{}{} }()
	go func() { srv.Serve(p.clients); ended <- struct{}{} }()
	return p
}

// runInLoop runs f in the loop and waits for it.
func (p *heldNode) runInLoop(f func()) {
	done := make(chan struct{})
	p.loop.post(func() { f(); close(done) })
	<-done
}

// wrapDial has connections to backends made by another function, which is given the one before. No request may be under
// way.
func wrapDial(b *transport, wrap func(upstream.DialFunc) upstream.DialFunc) {
	before := b.SetDial(nil)
	b.SetDial(wrap(before))
}

// eventually waits until holds returns true, and fails the test if it does not in time.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patient); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, patient)
		}
	}
}
