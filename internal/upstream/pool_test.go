package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// testTimeout is more than any test takes, unless something hangs.
const testTimeout = 10 * time.Second

// listen accepts connections on a loopback address, and returns the address and the accepted connections.
func listen(t *testing.T) (address string, accepted chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = make(chan net.Conn, 64)
	t.Cleanup(func() { l.Close() })
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	return l.Addr().String(), accepted
}

// readyEntry returns the list entry of a ready backend.
func readyEntry(key, address string) Entry[string] {
	return Entry[string]{Key: key, Address: address, Ready: true}
}

func acquire(t *testing.T, p *Pool[string], key string) *Conn {
	t.Helper()
	c, err := p.Acquire(t.Context(), p.Find(key), time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// closedByPeer reports whether the other side has closed a connection.
func closedByPeer(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}

func TestMinIdle(t *testing.T) {
	address, _ := listen(t)
	const minIdle = time.Hour
	p := New[string](Options{MaxConnections: 10, MaxIdle: 10 * minIdle, MinIdle: minIdle})
	p.Update(true, []Entry[string]{readyEntry("a", address)})
	for _, c := range []struct {
		idleFor time.Duration
		open    int
	}{{0, 1}, {-minIdle, 2}, {minIdle, 2}} {
		for _, idle := range p.Idle(p.Find("a")) {
			idle.idleSince = time.Now().Add(-c.idleFor)
		}
		open := p.Open()
		conn := acquire(t, p, "a")
		if p.Open() != c.open {
			t.Errorf("idle for %v: got %d open connections, want %d", c.idleFor, p.Open(), c.open)
		}
		if fresh := conn.RecordRequest(time.Now()).Requests == 0; fresh != (p.Open() > open) {
			t.Errorf("idle for %v: new connection: got %v, but open connections went from %d to %d", c.idleFor, fresh, open, p.Open())
		}
		p.Release(conn, true)
	}
	p.Update(true, nil)
	if p.Open() != 0 {
		t.Errorf("open connections: got %d, want 0", p.Open())
	}
}

func TestUnreadBytesRetireAConnection(t *testing.T) {
	address, accepted := listen(t)
	p := New[string](Options{MaxConnections: 10})
	p.Update(true, []Entry[string]{readyEntry("a", address)})
	first := acquire(t, p, "a")
	server := <-accepted
	p.Release(first, true)
	io.WriteString(server, "HTTP/1.1 200 OK\r\n")
	for text, open := "", true; text == "" && open; text, open = first.Unread() {
	}
	second := acquire(t, p, "a")
	if second == first {
		t.Error("Acquire: got the connection with unread bytes, want a new one")
	}
	if retired := p.counters.Retired.Load(); retired != 1 {
		t.Errorf("retired: got %d, want 1", retired)
	}
}

func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	address, accepted := listen(t)
	p := New[string](Options{MaxConnections: 10})
	p.Update(true, []Entry[string]{readyEntry("a", address)})
	first := acquire(t, p, "a")
	p.Release(first, true)
	(<-accepted).Close()
	for open := true; open; _, open = first.Unread() {
	}
	if second := acquire(t, p, "a"); second == first {
		t.Error("Acquire: got the connection that the backend has closed, want a new one")
	}
}

func TestLimitClosesTheLongestIdle(t *testing.T) {
	address, accepted := listen(t)
	other, _ := listen(t)
	p := New[string](Options{MaxConnections: 2})
	p.Update(true, []Entry[string]{readyEntry("a", address), readyEntry("b", other)})
	older, newer := acquire(t, p, "a"), acquire(t, p, "a")
	p.Release(older, true)
	p.Release(newer, true)
	inUse := acquire(t, p, "b")
	if p.Open() != 2 {
		t.Errorf("open connections: got %d, want 2", p.Open())
	}
	if idle := p.Idle(p.Find("a")); len(idle) != 1 || idle[0] != newer {
		t.Errorf("got %d idle connections, want only the newer one", len(idle))
	}
	if !closedByPeer(<-accepted) {
		t.Error("the connection that was idle longest is still open")
	}
	if taken := acquire(t, p, "a"); taken != newer {
		t.Error("Acquire: got another connection, want the idle one")
	}
	if _, err := p.Acquire(t.Context(), p.Find("b"), time.Now().Add(testTimeout)); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("Acquire beyond the limit: got %v, want %v", err, ErrTooManyConnections)
	}
	p.Release(inUse, false)
	p.Release(newer, false)
	if p.Open() != 0 {
		t.Errorf("open connections: got %d, want 0", p.Open())
	}
}

// Dials to a machine that does not respond take up only a share of the connection limit, and a connection whose caller has
// stopped waiting is kept for other requests.
func TestDialsInProgress(t *testing.T) {
	address, _ := listen(t)
	p := New[string](Options{MaxConnections: 16})
	p.Update(true, []Entry[string]{readyEntry("a", address)})
	started, proceed := make(chan struct{}, 2), make(chan struct{})
	dial := p.SetDial(nil)
	p.SetDial(func(ctx context.Context, network, address string, deadline time.Time) (net.Conn, error) {
		started <- struct{}{}
		<-proceed
		return dial(ctx, network, address, deadline)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for range 2 {
		waiting.Go(func() {
			if _, err := p.Acquire(ctx, p.Find("a"), time.Now().Add(testTimeout)); !errors.Is(err, context.Canceled) {
				t.Errorf("Acquire with a cancelled context: got %v, want %v", err, context.Canceled)
			}
		})
		<-started
	}
	if _, err := p.Acquire(t.Context(), p.Find("a"), time.Now().Add(testTimeout)); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("Acquire during two dials: got %v, want %v", err, ErrTooManyConnections)
	}
	cancel()
	waiting.Wait()
	close(proceed)
	p.Wait()
	if idle := len(p.Idle(p.Find("a"))); idle != 2 || p.Open() != 2 {
		t.Errorf("got %d idle of %d open connections, want 2 of 2", idle, p.Open())
	}
}

func TestUpdate(t *testing.T) {
	address, _ := listen(t)
	other, _ := listen(t)
	started := func(key string, at time.Duration) Entry[string] {
		return Entry[string]{Key: key, Address: address, Started: at, Ready: true}
	}
	for name, c := range map[string]struct {
		full    bool
		entries []Entry[string]
		closed  bool // whether the backend from before is closed
		known   bool // whether a backend of the key is found afterwards
	}{
		"the same again":         {true, []Entry[string]{readyEntry("a", address)}, false, true},
		"others changed":         {false, []Entry[string]{readyEntry("b", other)}, false, true},
		"removed":                {true, nil, true, false},
		"draining":               {false, []Entry[string]{{Key: "a", Address: address}}, true, false},
		"at another address":     {false, []Entry[string]{readyEntry("a", other)}, true, true},
		"restarted":              {false, []Entry[string]{started("a", 1)}, true, true},
		"its address is taken":   {false, []Entry[string]{readyEntry("b", address)}, true, true},
		"an older one's address": {false, []Entry[string]{started("b", -1)}, false, true},
	} {
		p := New[string](Options{MaxConnections: 10})
		p.Update(true, []Entry[string]{readyEntry("a", address)})
		before := p.Find("a")
		idle, inUse := acquire(t, p, "a"), acquire(t, p, "a")
		p.Release(idle, true)
		p.Update(c.full, c.entries)
		if p.Closed(before) != c.closed {
			t.Errorf("%s: Closed: got %v, want %v", name, p.Closed(before), c.closed)
		}
		if known := p.Find("a") != nil; known != c.known {
			t.Errorf("%s: found: got %v, want %v", name, known, c.known)
		}
		if kept := len(p.Idle(before)) == 1; kept == c.closed {
			t.Errorf("%s: idle connection kept: got %v, want %v", name, kept, !c.closed)
		}
		_, err := p.Acquire(t.Context(), before, time.Now().Add(testTimeout))
		if errors.Is(err, ErrClosed) != c.closed {
			t.Errorf("%s: Acquire: got %v, want %v: %v", name, err, ErrClosed, c.closed)
		}
		p.Release(inUse, true)
		if kept := p.Open() > 0; kept == c.closed {
			t.Errorf("%s: got %d open connections at the end, want some: %v", name, p.Open(), !c.closed)
		}
		p.Update(true, nil)
	}
}

func TestRunClosesAll(t *testing.T) {
	address, accepted := listen(t)
	p := New[string](Options{MaxConnections: 10, SweepInterval: time.Millisecond, MaxIdle: time.Nanosecond})
	p.Update(true, []Entry[string]{readyEntry("a", address)})
	old, inUse := acquire(t, p, "a"), acquire(t, p, "a")
	p.Release(old, true)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	if !closedByPeer(<-accepted) {
		t.Error("the connection that was idle for too long is still open")
	}
	cancel()
	<-ended
	p.Release(inUse, true)
	if p.Open() != 0 {
		t.Errorf("open connections: got %d, want 0", p.Open())
	}
}

// Bytes are readable as they arrive, up to the read limit.
func TestReaderIsIncrementalAndBounded(t *testing.T) {
	address, accepted := listen(t)
	p := New[string](Options{MaxConnections: 10, UserTimeout: 5 * time.Second})
	p.Update(true, []Entry[string]{readyEntry("a", address)})
	c := acquire(t, p, "a")
	server := <-accepted
	c.SetReadLimit(8)
	for _, line := range []string{"one\n", "two\n"} {
		io.WriteString(server, line)
		if got, err := c.Reader.ReadString('\n'); got != line || err != nil {
			t.Errorf("read: got %q, %v; want %q", got, err, line)
		}
	}
	if c.ReadLimit() != 0 {
		t.Errorf("read limit: got %d, want 0", c.ReadLimit())
	}
	io.WriteString(server, "more\n")
	if got, err := c.Reader.ReadString('\n'); got != "" || err != io.EOF {
		t.Errorf("read beyond the limit: got %q, %v, want io.EOF", got, err)
	}
}

func TestCloseUnresponsiveUnlessAnswered(t *testing.T) {
	address, _ := listen(t)
	for answered, want := range map[bool]int{false: 0, true: 1} {
		p := New[string](Options{MaxConnections: 10})
		p.Update(true, []Entry[string]{readyEntry("a", address)})
		began := time.Now()
		p.Release(acquire(t, p, "a"), true)
		if answered {
			p.RecordResponse(p.Find("a"), began)
		}
		p.CloseUnresponsive(p.Find("a"), began)
		if kept := len(p.Idle(p.Find("a"))); kept != want {
			t.Errorf("answered %v: got %d idle connections, want %d", answered, kept, want)
		}
		p.Update(true, nil)
	}
}
