package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// isInactive calls closeForReadingIfInactive(false), undoes its effect, and returns its result.
func (c *clientConn) isInactive() bool {
	inactive := c.closeForReadingIfInactive(false)
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.closedForReading = false
	return inactive
}

// When the node drains, it answers a request of which only the first part has arrived, on a connection that was idle
// before. It also answers a request that it accepted before the drain and whose deadline is later than the node's end.
func TestEndAnswersAll(t *testing.T) {
	t.Parallel()
	arrived := make(chan struct{}, 9)
	c := &Config{Settings: testSettings()}
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Deadline = 300 * time.Millisecond
	}
	silent := startBackend(t, func(c net.Conn) { // answers no POST
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.Method == "POST" {
				arrived <- struct{}{}
				io.Copy(io.Discard, c)
				return
			}
			io.WriteString(c, okResponse("x"))
		}
	})
	c.KnownBackends = readyBackends(silent)
	n := startNode(t, c)
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		return conn, bufio.NewReader(conn)
	}
	begun, r := dial()
	io.WriteString(begun, requestText("read", "9.5", ""))
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("first response: got %v, error %v, want status 200", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	long, longR := dial()
	io.WriteString(long, requestText("order", "9.5", "b"))
	receive(t, "the request", arrived)
	text := requestText("read", "9.5", "")
	io.WriteString(begun, text[:20])
	n.stop()
	if resp, err := http.ReadResponse(longR, nil); err != nil || resp.StatusCode != 504 {
		t.Errorf("request with more time than the node: got %v, error %v, want status 504", resp, err)
	}
	io.WriteString(begun, text[20:])
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("begun request: got %v, error %v, want status 503", resp, err)
	}
	if err := receive(t, "the end of the node", n.ended); err != nil {
		t.Error(err)
	}
}

// closedContext is a context that has ended. Done first calls awaitResponse, which waits until the response exists.
type closedContext struct {
	context.Context
	awaitResponse func()
	done          chan struct{}
}

func (c *closedContext) Done() <-chan struct{} { c.awaitResponse(); return c.done }

// If both a response and the client's disconnect are pending, the response is sent. select alone would pick either.
func TestAnswerGoesFirst(t *testing.T) {
	t.Parallel()
	p := startExposed(t, &Config{Settings: testSettings()}) // with no backend each request is refused
	done := make(chan struct{})
	close(done)
	for range 20 {
		text := requestText("read", "9.5", "")
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		ctx := context.WithValue(t.Context(), connKey{}, &clientConn{listener: p.clients})
		w := httptest.NewRecorder()
		p.frontend.ServeHTTP(w, r.WithContext(&closedContext{ctx, func() { p.runInLoop(func() {}) }, done}))
		if w.Code != 503 {
			t.Fatalf("got status %d, want 503", w.Code)
		}
	}
}

// lateBody returns its last byte after bodyTimeout, which starts before the first read.
type lateBody struct{}

func (lateBody) Read(p []byte) (int, error) { <-time.After(bodyTimeout); p[0] = 'b'; return 1, io.EOF }
func (lateBody) Close() error               { return nil }

// A body that ends just after its read deadline is rejected as late. net/http's detection of a disconnect may have
// ended with that deadline, and the request would be treated as one whose client has disconnected.
func TestBodyCrossesItsDeadline(t *testing.T) {
	t.Parallel()
	r := httptest.NewRequest("POST", "/order", lateBody{})
	r.ContentLength = 1
	if _, status, reason := readBody(httptest.NewRecorder(), r); status != http.StatusRequestTimeout {
		t.Errorf("got status %d (%q), want 408", status, reason)
	}
}

// A node that is stopped before it serves and told to reload while it drains still answers a request on a connection
// that the kernel has accepted.
func TestEndAtTheStart(t *testing.T) {
	t.Parallel()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", tcp.Addr().String()) // so far accepted by the kernel only
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, requestText("order", "9.5", "b"))
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	read := make(chan struct{}, 9)
	c := &Config{Settings: testSettings(), KnownBackends: readyBackends(addr), Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 256}}
	c.Discovery = netip.MustParseAddrPort(startBackend(t, func(c net.Conn) { io.Copy(io.Discard, c) }))
	c.reload = func() (*Config, error) { read <- struct{}{}; return nil, errors.New("bad") }
	ctx, stop := context.WithCancel(context.Background())
	stop()
	sighup, ended := make(chan os.Signal, 1), make(chan error, 1)
	sighup <- syscall.SIGHUP
	go func() { ended <- serve(ctx, c, tcp, sighup, discardLog) }()
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("response: got %v, error %v, want status 200", resp, err)
	}
	receive(t, "the reload", read)
	conn.Close()
	if err := receive(t, "the end of the node", ended); err != nil {
		t.Error(err)
	}
}

// If a connection is closed because of the idle timeout, a request that arrives at that moment stays unread, so the
// close sends a reset. Only the reset tells the client that it may send the request again.
func TestIdleTimeoutLeavesNewRequestUnread(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the request", "the deadline"} {
		t.Run(first, func(t *testing.T) {
			_, c, client := connPair(t)
			expire := func() { c.SetReadDeadline(time.Unix(1, 0)) }
			if first == "the request" {
				io.WriteString(client, "GET")
				eventually(t, "data in the kernel", func() bool { return !c.isInactive() })
				expire()
			}
			got := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 4096))
				got <- err
			}()
			if first == "the deadline" {
				eventually(t, "a waiting reader", func() bool { c.readMu.Lock(); defer c.readMu.Unlock(); return c.readerWaiting })
				expire()
			}
			if err := receive(t, "a read", got); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("read: got error %v, want a passed deadline", err)
			}
			if first == "the deadline" {
				io.WriteString(client, "GET")
				eventually(t, "data in the kernel", func() bool { return !c.isInactive() })
			}
			c.Close()
			if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("read by the client: got error %v, want a reset", err)
			}
		})
	}
}
