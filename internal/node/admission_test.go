package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

// Connections that send nothing, an incomplete header or an incomplete body are closed or answered within 3 s.
// Hundreds of them, and connections that stay open after one request, do not lock out other clients.
func TestClientsThatSendNothing(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
	n := startNode(t, &Config{Settings: testSettings(), KnownBackends: readyBackends(addr), Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: minSockets}})
	stuck := requestText("order", "9.5", "abc")
	stuck = stuck[:len(stuck)-1]
	var waiting sync.WaitGroup
	for i := range 100 {
		text := []string{"", "GET /re", "GET /read HTTP/1.1\r\nX: y\r\n", stuck, requestText("read", "9.5", "")}[i%5]
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		waiting.Go(func() {
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("after %.20q: the connection is still open", text)
			}
		})
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) { // long before these connections would time out
		if resp, _ := n.sendRequest(t, requestText("read", "9.5", "")); resp.StatusCode == 200 {
			break
		} else if time.Now().After(end) {
			t.Fatal("no request is served beside the stuck connections")
		}
	}
	waiting.Wait()
}

// At the limit, the connection that has waited for the longest time is evicted, but never one with an open request. A
// request on an evicted connection is not forwarded.
func TestAdmission(t *testing.T) {
	t.Parallel()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	cl := newClientListener(tcp, 3)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	accept := func() *clientConn {
		dial()
		c, err := cl.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c.(*clientConn)
	}
	busy, idle, fresh := accept(), accept(), accept()
	cl.track(busy, http.StateActive)
	cl.track(idle, http.StateActive)
	cl.track(idle, http.StateIdle)
	refused := dial()
	done := make(chan *clientConn)
	go func() { c, _ := cl.Accept(); done <- c.(*clientConn) }()
	refused.SetDeadline(time.Now().Add(testTimeout))
	if resp, err := http.ReadResponse(bufio.NewReader(refused), nil); err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("with no connection to evict: got %v, error %v, want status 503 with Retry-After", resp, err)
	}
	cl.mu.Lock()
	idle.waitingSince, fresh.waitingSince = time.Now().Add(-minIdleTime), time.Now().Add(-minFreshTime)
	cl.mu.Unlock()
	dial()
	third := receive(t, "the third connection", done)
	cl.track(third, http.StateActive)
	if !idle.wasEvicted() || fresh.wasEvicted() || busy.wasEvicted() {
		t.Error("first eviction: want only the idle connection evicted")
	}
	fourth := accept()
	cl.track(fourth, http.StateActive)
	if !fresh.wasEvicted() || busy.wasEvicted() || cl.count != 3 {
		t.Errorf("second eviction: want the fresh connection evicted and 3 open, got %d open", cl.count)
	}
	for _, c := range []*clientConn{busy, third, fourth, idle, fresh} {
		c.Close()
	}
	if cl.count != 0 || cl.fresh.Len() != 0 || cl.idle.Len() != 0 {
		t.Errorf("after all are closed: got %d open, %d fresh and %d idle connections, want none", cl.count, cl.fresh.Len(), cl.idle.Len())
	}
}
