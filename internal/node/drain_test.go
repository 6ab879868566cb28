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

// shutQuietBack is shutQuiet(false), undone.
func (c *clientConn) shutQuietBack() bool {
	quiet := c.closeIfQuiet(false)
	c.reading.Lock()
	defer c.reading.Unlock()
	c.closedForReading = false
	return quiet
}

// At the node's end a request whose first part has come is answered, on a connection that has been idle, and so is one
// that was taken before the end was asked for and has more time than the node.
func TestEndAnswersAll(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 9)
	c := &Config{Settings: testSettings()}
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Deadline = 300 * time.Millisecond
	}
	silent := startBackend(t, func(c net.Conn) { // POSTs are never answered
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.Method == "POST" {
				came <- struct{}{}
				io.Copy(io.Discard, c)
				return
			}
			io.WriteString(c, okResponse("x"))
		}
	})
	c.KnownBackends = knownBackends(silent)
	n := startNode(t, c)
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patient))
		return conn, bufio.NewReader(conn)
	}
	begun, r := dial()
	io.WriteString(begun, message("read", "9.5", ""))
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	long, longR := dial()
	io.WriteString(long, message("order", "9.5", "b"))
	receive(t, "the request", came)
	text := message("read", "9.5", "")
	io.WriteString(begun, text[:20])
	n.stop()
	if resp, err := http.ReadResponse(longR, nil); err != nil || resp.StatusCode != 504 {
		t.Errorf("with more time than the node: %v, %v", resp, err)
	}
	io.WriteString(begun, text[20:])
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("begun: %v, %v", resp, err)
	}
	if err := receive(t, "the end of the node", n.ended); err != nil {
		t.Error(err)
	}
}

// endsWhen is a context that has ended for whoever asks for Done, once an answer is there.
type endsWhen struct {
	context.Context
	there func()
	over  chan struct{}
}

func (c *endsWhen) Done() <-chan struct{} { c.there(); return c.over }

// Of an answer and the client's going, both there, the answer is sent: select alone takes any.
func TestAnswerGoesFirst(t *testing.T) {
	t.Parallel()
	p := startHeld(t, &Config{Settings: testSettings()}) // with no backend each request is refused
	over := make(chan struct{})
	close(over)
	for range 20 {
		text := message("read", "9.5", "")
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		ctx := context.WithValue(t.Context(), connKey{}, &clientConn{owner: p.clients})
		w := httptest.NewRecorder()
		p.frontend.ServeHTTP(w, r.WithContext(&endsWhen{ctx, func() { p.runInLoop(func() {}) }, over}))
		if w.Code != 503 {
			t.Fatalf("status %d", w.Code)
		}
	}
}

// lateBody brings its last byte when the time for it is over: that has begun before the first read.
type lateBody struct{}

func (lateBody) Read(p []byte) (int, error) { <-time.After(bodyTimeout); p[0] = 'b'; return 1, io.EOF }
func (lateBody) Close() error               { return nil }

// A body whose end crosses the deadline for it is answered as late: net/http's watch for the client's going may have
// ended with that deadline, and the request would be taken for one whose client has left.
func TestBodyCrossesItsDeadline(t *testing.T) {
	t.Parallel()
	r := httptest.NewRequest("POST", "/order", lateBody{})
	r.ContentLength = 1
	if _, status, fault := readBody(httptest.NewRecorder(), r); status != http.StatusRequestTimeout {
		t.Errorf("status %d, %q", status, fault)
	}
}

// A node that is asked to end before it serves, and to read its configuration again while it drains, still answers what
// the kernel has accepted for it.
func TestEndAtTheStart(t *testing.T) {
	t.Parallel()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", tcp.Addr().String()) // accepted by the kernel, and by nobody else so far
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patient))
	io.WriteString(conn, message("order", "9.5", "b"))
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	read := make(chan struct{}, 9)
	c := &Config{Settings: testSettings(), KnownBackends: knownBackends(addr), Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 256}}
	c.Discovery = netip.MustParseAddrPort(startBackend(t, func(c net.Conn) { io.Copy(io.Discard, c) }))
	c.readAgain = func() (*Config, error) { read <- struct{}{}; return nil, errors.New("bad") }
	ctx, stop := context.WithCancel(context.Background())
	stop()
	hup, ended := make(chan os.Signal, 1), make(chan error, 1)
	hup <- syscall.SIGHUP
	go func() { ended <- serve(ctx, c, tcp, hup, quiet) }()
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("%v, %v", resp, err)
	}
	receive(t, "the reload", read)
	conn.Close()
	if err := receive(t, "the end of the node", ended); err != nil {
		t.Error(err)
	}
}

// A connection that is closed as its idle time is over leaves unread what comes in that moment: only by a reset does its
// client know that it may send that again.
func TestIdleTimeOutCrossesRequest(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the request", "the deadline"} {
		t.Run(first, func(t *testing.T) {
			_, c, client := connPair(t)
			over := func() { c.SetReadDeadline(time.Unix(1, 0)) }
			if first == "the request" {
				io.WriteString(client, "GET")
				eventually(t, "come", func() bool { return !c.shutQuietBack() })
				over()
			}
			got := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 4096))
				got <- err
			}()
			if first == "the deadline" {
				eventually(t, "reading", func() bool { c.reading.Lock(); defer c.reading.Unlock(); return c.waiting })
				over()
			}
			if err := receive(t, "a read", got); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("read %v", err)
			}
			if first == "the deadline" {
				io.WriteString(client, "GET")
				eventually(t, "come", func() bool { return !c.shutQuietBack() })
			}
			c.Close()
			if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the client reads %v", err)
			}
		})
	}
}
