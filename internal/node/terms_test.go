package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"nickelline/decide"
	"nickelline/internal/upstream"
)

// A connection that is closed after a response ends without a reset, even if more data has arrived after the request:
// a reset may destroy the response before the client reads it.
func TestNoResetBehindAnAnswer(t *testing.T) {
	t.Parallel()
	waitForData := func(t *testing.T, c *net.TCPConn) {
		raw, err := c.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "data in the kernel", func() (found bool) {
			raw.Control(func(fd uintptr) {
				var next [1]byte
				n, _, _ := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				found = n > 0
			})
			return
		})
	}
	checkResponse := func(t *testing.T, conn net.Conn, want int) {
		t.Helper()
		conn.SetDeadline(time.Now().Add(testTimeout))
		r := bufio.NewReader(conn)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("response: got %v, error %v, want status %d", resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
		if more, err := io.ReadAll(r); len(more) > 0 || err != nil {
			t.Errorf("after the response: got %q, error %v, want EOF", more, err)
		}
	}
	request := requestText("read", "9.5", "")
	t.Run("turned away", func(t *testing.T) {
		_, c, client := connPair(t)
		io.WriteString(client, request)
		waitForData(t, c.TCPConn)
		refuseConnection(c.TCPConn)
		checkResponse(t, client, 503)
	})
	t.Run("cut at the end", func(t *testing.T) {
		cl, c, client := connPair(t)
		io.WriteString(client, request)
		waitForData(t, c.TCPConn)
		cl.refuseRemaining()
		checkResponse(t, client, 503)
	})
	for name, text := range map[string]string{"rejected": "GET /read HTTP/1.1\r\nHost: h\r\n\r\n", "malformed": "\x16\x03\x01\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			p := startExposed(t, &Config{Settings: testSettings()})
			conn, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, text+strings.Repeat("G", 20000)) // more than a single read returns
			checkResponse(t, conn, 400)
		})
	}
}

// heldDials returns a client's connection to a node, and blocks the node's dials to backends: each sends a value to
// dials and then waits for a value from proceed.
func heldDials(t *testing.T, p *exposedNode) (client net.Conn, dials, proceed chan struct{}) {
	t.Helper()
	dials, proceed = make(chan struct{}, 9), make(chan struct{}, 9)
	wrapDial(p.loop.transport, func(dial upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, network, addr string, deadline time.Time) (net.Conn, error) {
			dials <- struct{}{}
			select {
			case <-proceed:
			case <-ctx.Done():
			}
			return dial(ctx, network, addr, deadline)
		}
	})
	client, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(testTimeout))
	return client, dials, proceed
}

// X-Time-Left of a request to a backend never exceeds the time that the client has left, however long connecting and
// earlier attempts took.
func TestTimeLeftIsPassedOn(t *testing.T) {
	t.Parallel()
	const timeLeft, gap = 9.5, 100 * time.Millisecond
	timesLeft := make(chan string, 9)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	refuse := make(chan struct{})
	serve := respondWith(func(r *http.Request, _ []byte) string {
		timesLeft <- r.Header.Get("X-Time-Left")
		select {
		case <-first:
			<-refuse
			return "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			return okResponse("x")
		}
	})
	p := startExposed(t, &Config{Settings: testSettings(), KnownBackends: readyBackends(startBackend(t, serve), startBackend(t, serve))})
	conn, dials, proceed := heldDials(t, p)
	var sent time.Time
	checkTimeLeft := func(attempt string, since time.Time) {
		t.Helper()
		seconds, err := strconv.ParseFloat(receive(t, attempt, timesLeft), 64)
		if limit := timeLeft - since.Sub(sent).Seconds(); err != nil || seconds > limit {
			t.Errorf("%s: got X-Time-Left of %v s, error %v, want at most %.3f s", attempt, seconds, err, limit)
		}
	}
	waitGap := func(since time.Time) time.Time {
		eventually(t, "time", func() bool { return time.Since(since) >= gap })
		return time.Now()
	}
	io.WriteString(conn, requestText("read", strconv.FormatFloat(timeLeft, 'f', -1, 64), ""))
	receive(t, "a dial", dials)
	sent = time.Now() // the node has read the request; it cannot know how long the request took to arrive
	connected := waitGap(sent)
	proceed <- struct{}{}
	checkTimeLeft("late connection", connected)
	refusedAt := waitGap(connected)
	refuse <- struct{}{}
	receive(t, "a dial", dials)
	reconnected := waitGap(refusedAt)
	proceed <- struct{}{}
	checkTimeLeft("further attempt", reconnected)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("response: got %v, error %v, want status 200", resp, err)
	}
}

// A further attempt is not written if its connection is established only after the deduplication window, when backends
// have forgotten the key. Connecting may take longer than the window. As the first attempt may have run, the response
// is a 502, which does not guarantee that nothing ran.
func TestWindowCrossesConnecting(t *testing.T) {
	t.Parallel()
	const window = 300 * time.Millisecond
	arrived := make(chan time.Time, 9)
	serve := func(c net.Conn) { // each attempt may have run
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			arrived <- time.Now()
			c.(*net.TCPConn).SetLinger(0)
		}
	}
	c := &Config{Settings: testSettings(), KnownBackends: readyBackends(startBackend(t, serve), startBackend(t, serve))}
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].DedupWindow = window
	}
	p := startExposed(t, c)
	conn, dials, proceed := heldDials(t, p)
	io.WriteString(conn, requestText("tag", "9.5", "b"))
	receive(t, "a dial", dials)
	proceed <- struct{}{}
	ran := receive(t, "the first attempt", arrived)
	receive(t, "the second dial", dials)
	eventually(t, "the end of the window", func() bool { return time.Since(ran) > window })
	proceed <- struct{}{}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 502 {
		t.Errorf("response: got %v, error %v, want status 502", resp, err)
	}
	if len(arrived) > 0 {
		t.Error("a request was written after the window")
	}
}

// A starting node becomes ready from the list that it had before, whatever discovery does: while the first call hangs,
// and after calls that are refused, cut off or answered without a valid list.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	t.Parallel()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	for name, serve := range map[string]func(net.Conn){
		"silent":  func(c net.Conn) { io.Copy(io.Discard, c) },
		"refuses": nil,
		"resets":  func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) },
		"503": respondWith(func(*http.Request, []byte) string {
			return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
		}),
		"no list": respondWith(func(*http.Request, []byte) string { return okResponse("what") }),
		"drips": func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
				io.Copy(io.Discard, c)
			}
		},
	} {
		for _, pushed := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", pushed"}[pushed], func(t *testing.T) {
				t.Parallel()
				c := &Config{Settings: testSettings()}
				c.Settings.ListOnRequest = !pushed
				c.KnownBackends = readyBackends(startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") })))
				c.Discovery = netip.MustParseAddrPort(closed.Addr().String())
				if serve != nil {
					c.Discovery = netip.MustParseAddrPort(startBackend(t, serve))
				}
				began := time.Now()
				n := startNode(t, c)
				n.waitReady(t, 200)
				if took := time.Since(began); took >= callTimeout { // the node did not wait for a call
					t.Errorf("ready after %v, want less than the timeout of a call", took)
				}
				if resp, _ := n.sendUntilServed(t, requestText("order", "9.5", "b")); resp.StatusCode != 200 {
					t.Errorf("got status %d, want 200", resp.StatusCode)
				}
			})
		}
	}
}

// A response without a length is incomplete if the connection is reset, whatever part of it has arrived. It also
// counts as incomplete if the connection is closed, because the backend may have crashed. No part of it reaches the
// client.
func TestCutAnswerIsNone(t *testing.T) {
	t.Parallel()
	for _, reset := range []bool{true, false} {
		read := make(chan struct{})
		addr := startBackend(t, func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of a body that looks whole")
			<-read // the node has read it before the connection ends
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
		})
		tr := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, discardLog)
		tr.SetDial(func(_ context.Context, network, addr string, _ time.Time) (net.Conn, error) {
			c, err := net.Dial(network, addr)
			return &readNotifyingConn{c.(*net.TCPConn), read, false}, err
		})
		tr.update(readyBackends(addr))
		r := tr.do(t.Context(), tr.Find(1), getExchange(testTimeout))
		if r.code != decide.Reset || len(r.body) > 0 || r.clientStatus != 0 {
			t.Errorf("reset %v: got outcome %v, body %q (%v), want Reset without a body", reset, r.code, r.body, r.err)
		}
		if reset == errors.Is(r.err, errTruncated) {
			t.Errorf("reset %v: got error %v, want errTruncated only without a reset", reset, r.err)
		}
	}
}

// readNotifyingConn closes the channel read once it has read data.
type readNotifyingConn struct {
	*net.TCPConn
	read     chan struct{}
	notified bool
}

func (c *readNotifyingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.notified {
		c.notified = true
		close(c.read)
	}
	return n, err
}

// A client that sends more data during an open request than the node buffers is cut off with an error, because its
// disconnect could not be detected.
func TestFloodBehindARequestIsCut(t *testing.T) {
	t.Parallel()
	arrived, proceed := make(chan struct{}, 9), make(chan struct{})
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { arrived <- struct{}{}; <-proceed; return okResponse("x") }))
	n := startNode(t, &Config{Settings: testSettings(), KnownBackends: readyBackends(addr)})
	t.Cleanup(func() { close(proceed) })
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, requestText("read", "19.5", ""))
	receive(t, "the request", arrived)
	go io.WriteString(conn, strings.Repeat("G", 4<<20))
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 400 || !resp.Close {
		t.Errorf("response: got %v, error %v, want status 400 with close", resp, err)
	}
}

// If a connection is never established, nothing was sent on it. The node gives up after the connect timeout of the
// settings and refuses the request, so that the client may retry, long before the client's time is over.
func TestConnectionNeverComesUp(t *testing.T) {
	t.Parallel()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }) // no connection is accepted, and the accept queue is full at once
	if err != nil {
		t.Fatal(err)
	}
	full := false
	for range 20 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
		if full = err != nil; full {
			break
		}
		defer c.Close()
	}
	if !full {
		t.Fatal("connections are still established despite the full accept queue")
	}
	c := &Config{Settings: testSettings(), KnownBackends: readyBackends(l.Addr().String())}
	c.Settings.ConnectTimeout, c.Settings.MaxAttempts = 200*time.Millisecond, 1
	n := startNode(t, c)
	began := time.Now()
	if resp, _ := n.sendRequest(t, requestText("order", "19.5", "b")); resp.StatusCode != 503 {
		t.Errorf("got status %d, want 503", resp.StatusCode)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("refused after %v, want at most 10 s", took)
	}
}
