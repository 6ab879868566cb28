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

// pair returns a connection as the node has it, and its client's side.
func connPair(t *testing.T) (*admission, *clientConn, *net.TCPConn) {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	a := newAdmission(tcp, 1)
	client, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := a.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); c.Close() })
	client.SetDeadline(time.Now().Add(patient))
	return a, c.(*clientConn), client.(*net.TCPConn)
}

// readOnce reads once from a connection, in a goroutine of its own.
func readOnce(c *clientConn) chan error {
	got := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 4096))
		got <- err
	}()
	return got
}

// readerWaits returns whether the connection's reader has seen that there is nothing to read.
func readerWaits(c *clientConn) func() bool {
	return func() bool { c.reading.Lock(); defer c.reading.Unlock(); return c.waiting }
}

// A connection that the node closes as idle has brought nothing that the node has read, and brings nothing from then on:
// only then does its client know that what it has sent meanwhile may be sent again.
func TestCloseCrossesRequest(t *testing.T) {
	t.Parallel()
	t.Run("request waits in the kernel", requestWaitsInKernel)
	t.Run("request comes after the close was settled", requestComesAfterClose)
	t.Run("quiet", quietIsClosed)
	t.Run("evicted with a begun request", evictedWithBegunRequest)
}

func requestWaitsInKernel(t *testing.T) {
	a, c, client := connPair(t)
	io.WriteString(client, "GET")
	eventually(t, "come", func() bool {
		return !c.shutQuietBack()
	})
	a.closeQuiet()
	if err := receive(t, "a read", readOnce(c)); err != nil {
		t.Error(err)
	}
	a.closeQuiet() // it has been read now
	if a.openConnections() != 1 {
		t.Error("closed under a request")
	}
	a.refuseRest()
	if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("%v, %v", resp, err)
	}
	if a.openConnections() != 0 {
		t.Error("still open")
	}
}

func requestComesAfterClose(t *testing.T) {
	_, c, client := connPair(t)
	got := readOnce(c)
	eventually(t, "reading", readerWaits(c))
	if !c.closeIfQuiet(true) {
		t.Fatal("not shut")
	}
	io.WriteString(client, "GET")
	if err := receive(t, "a read", got); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %v", err)
	}
}

func quietIsClosed(t *testing.T) {
	a, c, client := connPair(t)
	a.closeQuiet() // nobody has looked yet
	if a.openConnections() != 1 {
		t.Error("closed before anybody has looked")
	}
	got := readOnce(c)
	eventually(t, "reading", readerWaits(c))
	a.closeQuiet()
	if err := receive(t, "a read", got); !errors.Is(err, net.ErrClosed) || a.openConnections() != 0 {
		t.Errorf("read %v, %d held", err, a.openConnections())
	}
	if n, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the client reads %d, %v", n, err)
	}
}

func evictedWithBegunRequest(t *testing.T) {
	a, c, client := connPair(t)
	io.WriteString(client, "GET")
	if err := receive(t, "a read", readOnce(c)); err != nil {
		t.Fatal(err)
	}
	a.mu.Lock()
	c.since = time.Now().Add(-minFresh)
	old, begun := a.evictionCandidate()
	a.mu.Unlock()
	if old != c || !begun {
		t.Fatalf("%v, %v", old, begun)
	}
	old.refuse()
	if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("%v, %v", resp, err)
	}
}
