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

// testTimeout is the time for which a test waits for an expected event. It is long enough for a slow machine.
const testTimeout = 20 * time.Second

var discardLog = slog.New(slog.DiscardHandler)

// testSettings returns settings with a safe class "read", a keyed class "tag" and an unsafe class "order".
func testSettings() decide.Settings {
	class := func(name string, e decide.Effect) decide.Class {
		return decide.Class{Name: name, Value: 1, Target: 5 * time.Second, Deadline: 10 * time.Second, Effect: e,
			KeyScope: decide.ScopeCell, DedupWindow: 8 * time.Second}
	}
	return decide.Settings{Nodes: 1, Zone: "z", Zones: []string{"z"}, MaxAttempts: 4, MayOverlap: true, MayCancel: true,
		MayProbe: true, MayRetryAfter: true, MaxRetryAfter: 2 * time.Second, ConnectTimeout: 2 * time.Second,
		ConnIdle: time.Minute, MaxOpen: 100, DrainGrace: 20 * time.Second, ColdStartShare: 0.3, WarmUpTime: time.Second,
		OverloadFactor: 2.5, OverloadTime: time.Second, ReportVia: decide.ReportProbe, MinTick: 5 * time.Millisecond,
		MaxListAge: 10 * time.Second,
		Classes:    []decide.Class{class("read", decide.Safe), class("tag", decide.Keyed), class("order", decide.Unsafe)}}
}

// startBackend listens on a free port and returns its address. Each connection is passed to serve. The end of the test
// closes the connections and waits for all calls of serve.
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

// receive waits for a value and ends the test if none arrives in time: a test that waits forever hides its own failure.
func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("%s: not within %v", what, testTimeout)
		panic("unreachable")
	}
}

// respondWith returns a function that reads requests and writes what reply returns, until reply returns "".
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

// okResponse returns the text of a response with status 200 and a body.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// readyBackends returns a full list of ready backends at the addresses, with the IDs 1, 2 and so on.
func readyBackends(addrs ...string) backendList {
	l := backendList{version: 1, full: true}
	for i, a := range addrs {
		l.entries = append(l.entries, entry{name: fmt.Sprintf("s-%08x", i+1), addr: a, Backend: decide.Backend{ID: decide.BackendID(i + 1), Zone: "z", State: decide.Ready, Size: 1}})
	}
	return l
}

// testNode is a running node.
type testNode struct {
	addr   string
	sighup chan os.Signal
	stop   context.CancelFunc
	ended  chan error
}

// startNode starts a node, which the end of the test stops.
func startNode(t *testing.T, c *Config) *testNode {
	t.Helper()
	// The listener is passed on, because another process could take a port that is closed and opened again.
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
	n := &testNode{addr: tcp.Addr().String(), sighup: make(chan os.Signal), stop: stop, ended: make(chan error, 1)}
	go func() { n.ended <- serve(ctx, c, tcp, n.sighup, discardLog); close(n.ended) }()
	t.Cleanup(func() { stop(); receive(t, "the end of the node", n.ended) })
	return n // until the node serves, connections wait in the accept queue
}

var ids atomic.Int64 // for the ids of requests

// requestText returns the text of a request of a class. left is the value of X-Time-Left, in seconds.
func requestText(class, left, body string) string {
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

// sendRequest sends text on a new connection and returns the response and its body.
func (n *testNode) sendRequest(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	resp, body, err := n.sendAndReceive(text)
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

// sendUntilServed does what sendRequest does, but retries after each refusal as its Retry-After says. On a machine that
// stalls, responses seem slow, and the module may briefly refuse requests that it would serve otherwise.
func (n *testNode) sendUntilServed(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		resp, body := n.sendRequest(t, text)
		if resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(end) {
			return resp, body
		}
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			t.Fatalf("Retry-After of a refusal: %v", err)
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

// sendAsync does what sendRequest does, in a goroutine. Without a response, the test fails and the channel receives a
// response without a status.
func (n *testNode) sendAsync(t *testing.T, text string) <-chan *http.Response {
	answered := make(chan *http.Response, 1)
	go func() {
		resp, _, err := n.sendAndReceive(text)
		for tries := 1; tries < 10 && errors.Is(err, errSentLate); tries++ {
			resp, _, err = n.sendAndReceive(text)
		}
		if err != nil {
			t.Error(err)
			resp = &http.Response{}
		}
		answered <- resp
	}()
	return answered
}

// errSentLate means that the machine was too slow: the node may close a connection that sends nothing for minFreshTime.
var errSentLate = errors.New("the request was sent later than minFreshTime after connecting")

// sendAndReceive sends text on a new connection and returns the response and its body.
func (n *testNode) sendAndReceive(text string) (*http.Response, string, error) {
	began := time.Now()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		return nil, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, text)
	late := time.Since(began) >= minFreshTime
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil && late {
		return nil, "", fmt.Errorf("%w: %w", errSentLate, err)
	}
	if err != nil {
		return nil, "", fmt.Errorf("read response: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, "", fmt.Errorf("read body of response: %w", err)
	}
	return resp, string(body), nil
}

// waitReady waits until the readiness check returns a status.
func (n *testNode) waitReady(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		resp, _ := n.sendRequest(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		if resp.StatusCode == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("readiness check: got status %d, want %d", resp.StatusCode, want)
		}
	}
}

// exposedNode is a running node whose loop, frontend and listener a test can access directly.
type exposedNode struct {
	loop     *loop
	frontend *frontend
	clients  *clientListener
	addr     string
}

// startExposed starts a node without messages between nodes, statistics and draining. The end of the test stops it.
func startExposed(t *testing.T, c *Config) *exposedNode {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.Sockets == 0 {
		c.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 256}
	}
	ctx, stop := context.WithCancel(context.Background())
	tr := newTransport(c, 100, discardLog)
	l := newLoop(ctx, c, tr, newDiscovery(c.Discovery, discardLog), nil, discardLog)
	p := &exposedNode{loop: l, frontend: newFrontend(l, 1<<20, discardLog), clients: newClientListener(tcp, 100), addr: tcp.Addr().String()}
	srv := p.frontend.server(p.clients)
	ended := make(chan struct{}, 3)
	t.Cleanup(func() {
		stop()
		srv.Close()
		for range cap(ended) {
			receive(t, "the end of the node's parts", ended)
		}
		tr.Wait()
	})
	go func() { l.run(c.KnownBackends); ended <- struct{}{} }()
	go func() { tr.Run(ctx); ended <- struct{}{} }()
	go func() { srv.Serve(p.clients); ended <- struct{}{} }()
	return p
}

// runInLoop runs f in the loop and waits until it returns.
func (p *exposedNode) runInLoop(f func()) {
	done := make(chan struct{})
	p.loop.post(func() { f(); close(done) })
	<-done
}

// wrapDial replaces the dial function of a transport by the one that wrap returns for it. No request may be under way.
func wrapDial(tr *transport, wrap func(upstream.DialFunc) upstream.DialFunc) {
	before := tr.SetDial(nil)
	tr.SetDial(wrap(before))
}

// eventually waits until holds returns true, and ends the test if it does not in time. what names the condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}
