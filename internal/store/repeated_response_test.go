package store

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"nickelline/internal/discovery"
	"nickelline/internal/forward"
	"nickelline/internal/standin"
)

// repeatingBackend responds to the first run of each item with a failure, and to all others with a stream. Its second response to
// the first run is late: it sends it on the same connection when the item runs there again, before the response to that run.
type repeatingBackend struct {
	discovery.Backend
	runs   atomic.Int32
	failed atomic.Int32 // runs that ended with a failure
}

func startRepeatingBackend(t *testing.T) *repeatingBackend {
	t.Helper()
	b := &repeatingBackend{}
	b.Backend = listenAsBackend(t, b.serve)
	return b
}

// listenAsBackend starts a backend that calls serve for each connection.
func listenAsBackend(t *testing.T, serve func(conn net.Conn)) discovery.Backend {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return discovery.Backend{ID: "i-0", Service: testService, Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// useBackend makes a backend the only one, and sends items to it by a client of its own.
func (f *fixture) useBackend(b discovery.Backend) {
	client := forward.NewClient(forward.Options{MaxConnections: 100, ConnectTimeout: testTimeout})
	client.SetBackends(discovery.NewList([]discovery.Backend{b}))
	f.admission.backends = []discovery.Backend{b}
	f.config.sender = client
	f.configure(testConfiguration(f.t, testPrefix, 2, 40), true)
}

func (b *repeatingBackend) serve(conn net.Conn) {
	repeated := ""
	standin.ServeRequests(conn, func(r *http.Request) bool {
		id := r.Header.Get(forward.HeaderAttemptID)
		response := streamResponse(id)
		if b.runs.Add(1) == 1 {
			b.failed.Add(1)
			response = failureResponse(id)
		}
		_, err := io.WriteString(conn, repeated+response)
		repeated = failureResponse(id)
		return err == nil
	})
}

func failureResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%s: s\r\nContent-Length: 6\r\n\r\nfailed",
		forward.HeaderAttemptID, id, forward.HeaderResponseSeal)
}

// streamResponse returns a stream of one event.
func streamResponse(id string) string {
	event := fmt.Sprintf("id: 1\ndata: %s\n\n", eventData(id, 1))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		forward.HeaderAttemptID, id, forward.HeaderResponseSeal, forward.EventStream, len(event), event)
}

// TestOneFailureIsCountedOnce guards against an item that is listed as abandoned though fewer than maxAttempts of its runs have
// failed, because its backend has responded to one of them twice.
func TestOneFailureIsCountedOnce(t *testing.T) {
	b := startRepeatingBackend(t)
	f := newFixture(t, 0)
	f.useBackend(b.Backend)
	job := testJob(testKey(1), 1, 1)
	f.submit(job)
	f.start()
	checkCompleted(t, f.results(job.Key, 1)[0], 1)
	if got := b.failed.Load(); got != 1 {
		t.Errorf("runs that ended with a failure: got %d, want 1", got)
	}
}
