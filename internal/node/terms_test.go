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

// What has been answered and is then closed ends with the answer and no reset, though more has come behind what was
// answered: a reset may take the answer with it.
func TestNoResetBehindAnAnswer(t *testing.T) {
	t.Parallel()
	came := func(t *testing.T, c *net.TCPConn) {
		raw, err := c.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "come", func() (there bool) {
			raw.Control(func(fd uintptr) {
				var next [1]byte
				n, _, _ := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				there = n > 0
			})
			return
		})
	}
	reads := func(t *testing.T, conn net.Conn, want int) {
		t.Helper()
		conn.SetDeadline(time.Now().Add(patient))
		r := bufio.NewReader(conn)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("%v, %v, want %d", resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
		if more, err := io.ReadAll(r); len(more) > 0 || err != nil {
			t.Errorf("behind the answer: %q, %v", more, err)
		}
	}
	request := message("read", "9.5", "")
	t.Run("turned away", func(t *testing.T) {
		_, c, client := connPair(t)
		io.WriteString(client, request)
		came(t, c.TCPConn)
		turnAway(c.TCPConn)
		reads(t, client, 503)
	})
	t.Run("cut at the end", func(t *testing.T) {
		a, c, client := connPair(t)
		io.WriteString(client, request)
		came(t, c.TCPConn)
		a.refuseRest()
		reads(t, client, 503)
	})
	for name, text := range map[string]string{"rejected": "GET /read HTTP/1.1\r\nHost: h\r\n\r\n", "malformed": "\x16\x03\x01\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			p := startHeld(t, &Config{Settings: testSettings()})
			conn, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, text+strings.Repeat("G", 20000)) // more than one read takes
			reads(t, conn, 400)
		})
	}
}

// lateDials gives a client's connection to a node whose connections to backends come up when they are let to.
func lateDials(t *testing.T, p *heldNode) (client net.Conn, dials, let chan struct{}) {
	t.Helper()
	dials, let = make(chan struct{}, 9), make(chan struct{}, 9)
	wrapDial(p.loop.transport, func(dial upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, network, addr string, deadline time.Time) (net.Conn, error) {
			dials <- struct{}{}
			select {
			case <-let:
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
	client.SetDeadline(time.Now().Add(patient))
	return client, dials, let
}

// A backend is told no more time than is left to the client, however long a connection took to come up and whatever an
// earlier attempt has used.
func TestTimeLeftIsPassedOn(t *testing.T) {
	t.Parallel()
	const patience, gap = 9.5, 100 * time.Millisecond
	told := make(chan string, 9)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	turn := make(chan struct{})
	serve := respondWith(func(r *http.Request, _ []byte) string {
		told <- r.Header.Get("X-Time-Left")
		select {
		case <-first:
			<-turn
			return "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			return okResponse("x")
		}
	})
	p := startHeld(t, &Config{Settings: testSettings(), KnownBackends: knownBackends(startBackend(t, serve), startBackend(t, serve))})
	conn, dials, let := lateDials(t, p)
	var sent time.Time
	left := func(attempt string, since time.Time) {
		t.Helper()
		seconds, err := strconv.ParseFloat(receive(t, attempt, told), 64)
		if most := patience - since.Sub(sent).Seconds(); err != nil || seconds > most {
			t.Errorf("%s: told %v s (%v), have %.3f", attempt, seconds, err, most)
		}
	}
	passed := func(since time.Time) time.Time {
		eventually(t, "time", func() bool { return time.Since(since) >= gap })
		return time.Now()
	}
	io.WriteString(conn, message("read", strconv.FormatFloat(patience, 'f', -1, 64), ""))
	receive(t, "a dial", dials)
	sent = time.Now() // the node has read the request by now: how long that took it cannot know
	connected := passed(sent)
	let <- struct{}{}
	left("late connection", connected)
	turned := passed(connected)
	turn <- struct{}{}
	receive(t, "a dial", dials)
	again := passed(turned)
	let <- struct{}{}
	left("further attempt", again)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("%v, %v", resp, err)
	}
}

// A repeat whose connection comes up only when backends have forgotten the key is not written, though the window is
// shorter than connecting may take; with the key forgotten and the effect unknown the answer promises nothing.
func TestWindowCrossesConnecting(t *testing.T) {
	t.Parallel()
	const window = 300 * time.Millisecond
	came := make(chan time.Time, 9)
	serve := func(c net.Conn) { // each attempt may have run
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			came <- time.Now()
			c.(*net.TCPConn).SetLinger(0)
		}
	}
	c := &Config{Settings: testSettings(), KnownBackends: knownBackends(startBackend(t, serve), startBackend(t, serve))}
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].DedupWindow = window
	}
	p := startHeld(t, c)
	conn, dials, let := lateDials(t, p)
	io.WriteString(conn, message("tag", "9.5", "b"))
	receive(t, "a dial", dials)
	let <- struct{}{}
	ran := receive(t, "the first attempt", came)
	receive(t, "the second dial", dials)
	eventually(t, "the window's end", func() bool { return time.Since(ran) > window })
	let <- struct{}{}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 502 {
		t.Errorf("%v, %v", resp, err)
	}
	if len(came) > 0 {
		t.Error("written past the window")
	}
}

// A node that starts is ready by the list that it had, whatever discovery does: while its first call hangs, and after
// calls that are refused, cut or answered with what is no list.
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
				c.KnownBackends = knownBackends(startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") })))
				c.Discovery = netip.MustParseAddrPort(closed.Addr().String())
				if serve != nil {
					c.Discovery = netip.MustParseAddrPort(startBackend(t, serve))
				}
				began := time.Now()
				n := startNode(t, c)
				n.waitReady(t, 200)
				if took := time.Since(began); took >= callTimeout { // longer than a call is waited for
					t.Errorf("ready after %v", took)
				}
				if resp, _ := n.askUntilServed(t, message("order", "9.5", "b")); resp.StatusCode != 200 {
					t.Errorf("status %d", resp.StatusCode)
				}
			})
		}
	}
}

// An answer without a length that is reset on its way is not whole, whatever has come of it, and neither is one whose
// end is a close, which may be a backend's that has died: nothing of it comes to the client.
func TestCutAnswerIsNone(t *testing.T) {
	t.Parallel()
	for _, reset := range []bool{true, false} {
		read := make(chan struct{})
		addr := startBackend(t, func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of a body that looks whole")
			<-read // it is in the node's hands before the end comes
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
		})
		b := newTransport(&Config{Settings: testSettings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
		b.SetDial(func(_ context.Context, network, addr string, _ time.Time) (net.Conn, error) {
			c, err := net.Dial(network, addr)
			return &tellsOfReads{c.(*net.TCPConn), read, false}, err
		})
		b.update(knownBackends(addr))
		r := b.do(t.Context(), b.Find(1), get(patient))
		if r.code != decide.Reset || len(r.body) > 0 || r.clientStatus != 0 {
			t.Errorf("reset %v: %v, %q (%v)", reset, r.code, r.body, r.err)
		}
		if reset == errors.Is(r.err, errTruncated) {
			t.Errorf("reset %v: %v", reset, r.err)
		}
	}
}

// tellsOfReads closes read once something has been read.
type tellsOfReads struct {
	*net.TCPConn
	read chan struct{}
	told bool
}

func (c *tellsOfReads) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.told {
		c.told = true
		close(c.read)
	}
	return n, err
}

// A client that sends more behind an open request than can be kept is cut, with an error: nobody would see it go.
func TestFloodBehindARequestIsCut(t *testing.T) {
	t.Parallel()
	came, let := make(chan struct{}, 9), make(chan struct{})
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { came <- struct{}{}; <-let; return okResponse("x") }))
	n := startNode(t, &Config{Settings: testSettings(), KnownBackends: knownBackends(addr)})
	t.Cleanup(func() { close(let) })
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patient))
	io.WriteString(conn, message("read", "19.5", ""))
	receive(t, "the request", came)
	go io.WriteString(conn, strings.Repeat("G", 4<<20))
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 400 || !resp.Close {
		t.Errorf("%v, %v", resp, err)
	}
}

// A connection that never comes up has carried nothing: it is given up after the time that the settings give, and the
// client is told that it may come again, long before its patience ends.
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
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }) // nobody accepts, and the queue is full at once
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
		t.Fatal("connections come up still")
	}
	c := &Config{Settings: testSettings(), KnownBackends: knownBackends(l.Addr().String())}
	c.Settings.ConnectTimeout, c.Settings.MaxAttempts = 200*time.Millisecond, 1
	n := startNode(t, c)
	began := time.Now()
	if resp, _ := n.ask(t, message("order", "19.5", "b")); resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("given up after %v", took)
	}
}
