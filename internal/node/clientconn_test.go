package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// connPair returns a listener, a connection that it accepted, and the client's end of the connection.
func connPair(t *testing.T) (*clientListener, *clientConn, *net.TCPConn) {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	cl := newClientListener(tcp, 1)
	client, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := cl.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); c.Close() })
	client.SetDeadline(time.Now().Add(testTimeout))
	return cl, c.(*clientConn), client.(*net.TCPConn)
}

// readOnce reads once from a connection in a goroutine. The channel receives the error.
func readOnce(c *clientConn) chan error {
	got := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 4096))
		got <- err
	}()
	return got
}

// readerWaits returns a function that reports whether the reader of the connection has found nothing to read.
func readerWaits(c *clientConn) func() bool {
	return func() bool { c.readMu.Lock(); defer c.readMu.Unlock(); return c.readerWaiting }
}

// If the node closes an idle connection, it has read nothing since the last response and reads nothing from then on.
// Only then does the client know that it may send again a request that it sent in the meantime.
func TestCloseCrossesRequest(t *testing.T) {
	t.Parallel()
	t.Run("request waits in the kernel", requestWaitsInKernel)
	t.Run("request comes after the close was settled", requestComesAfterClose)
	t.Run("quiet", quietIsClosed)
	t.Run("evicted with a begun request", evictedWithBegunRequest)
}

func requestWaitsInKernel(t *testing.T) {
	cl, c, client := connPair(t)
	io.WriteString(client, "GET")
	eventually(t, "data in the kernel", func() bool {
		return !c.isInactive()
	})
	cl.closeInactive()
	if err := receive(t, "a read", readOnce(c)); err != nil {
		t.Error(err)
	}
	cl.closeInactive() // the node has read the data now
	if cl.openConnections() != 1 {
		t.Error("the connection was closed although a request has begun")
	}
	cl.refuseRemaining()
	if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("response: got %v, error %v, want status 503", resp, err)
	}
	if cl.openConnections() != 0 {
		t.Error("the connection is still open after its refusal")
	}
}

func requestComesAfterClose(t *testing.T) {
	_, c, client := connPair(t)
	got := readOnce(c)
	eventually(t, "a waiting reader", readerWaits(c))
	if !c.closeForReadingIfInactive(true) {
		t.Fatal("an inactive connection was not closed for reading")
	}
	io.WriteString(client, "GET")
	if err := receive(t, "a read", got); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read: got error %v, want net.ErrClosed", err)
	}
}

func quietIsClosed(t *testing.T) {
	cl, c, client := connPair(t)
	cl.closeInactive() // no reader has found it empty yet
	if cl.openConnections() != 1 {
		t.Error("the connection was closed before a reader found it empty")
	}
	got := readOnce(c)
	eventually(t, "a waiting reader", readerWaits(c))
	cl.closeInactive()
	if err := receive(t, "a read", got); !errors.Is(err, net.ErrClosed) || cl.openConnections() != 0 {
		t.Errorf("read: got error %v and %d open connections, want net.ErrClosed and 0", err, cl.openConnections())
	}
	if n, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read by the client: got %d bytes, error %v, want EOF", n, err)
	}
}

func evictedWithBegunRequest(t *testing.T) {
	cl, c, client := connPair(t)
	io.WriteString(client, "GET")
	if err := receive(t, "a read", readOnce(c)); err != nil {
		t.Fatal(err)
	}
	cl.mu.Lock()
	c.waitingSince = time.Now().Add(-minFreshTime)
	old, begun := cl.evictionCandidate()
	cl.mu.Unlock()
	if old != c || !begun {
		t.Fatalf("eviction candidate: got %v, begun %v, want the connection with a begun request", old, begun)
	}
	old.refuse()
	if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("response: got %v, error %v, want status 503", resp, err)
	}
}
