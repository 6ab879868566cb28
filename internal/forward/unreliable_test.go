package forward

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"nickelline/internal/discovery"
	"nickelline/internal/standin"
)

// noFault is the greatest of the choices of an unreliableBackend; those above 9 are proper responses.
const noFault = 14

// unreliableBackend responds with the faults of real backends: no response, a reset, half a response, a second response
// after the first or late, the response to an earlier request, a response without a length, a malformed response. It records the requests that it
// was sent.
type unreliableBackend struct {
	discovery.Backend
	listener *net.TCPListener

	mutex    sync.Mutex
	random   *rand.Rand      // nil: the backend has no faults
	received map[string]int  // number of requests by attempt id
	refused  map[string]bool // attempt ids that it reported as not run
}

func newUnreliableBackend(t *testing.T, seed uint64) *unreliableBackend {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	b := &unreliableBackend{
		listener: listener, random: rand.New(rand.NewPCG(seed, 6)),
		received: make(map[string]int), refused: make(map[string]bool),
	}
	b.ID, b.Service = "i-1", "s"
	b.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			socket, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			serving.Go(func() { b.serve(socket) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return b
}

func (b *unreliableBackend) serve(socket *net.TCPConn) {
	earlier := ""
	standin.ServeRequests(socket, func(r *http.Request) bool {
		id := r.Header.Get(HeaderAttemptID)
		open := b.respond(socket, id, earlier)
		earlier = id
		return open
	})
}

// respond responds to a request with a random fault or correctly, and reports whether the connection stays open.
func (b *unreliableBackend) respond(socket *net.TCPConn, id, earlier string) bool {
	b.mutex.Lock()
	b.received[id]++
	choice := noFault
	if b.random != nil {
		choice = b.random.IntN(noFault + 1)
	}
	b.refused[id] = choice == 0
	b.mutex.Unlock()
	own := responseTo(id)
	switch choice {
	case 0: // a report that the request was not run
		return send(socket, "HTTP/1.1 503 Full\r\n"+HeaderAttemptID+": "+id+"\r\n"+HeaderNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
	case 1: // no response
		return true
	case 2: // a reset
		_ = socket.SetLinger(0)
		return false
	case 3: // half a response
		send(socket, own[:len(own)-3])
		return false
	case 4: // a second response after the first
		return send(socket, own+own)
	case 5: // the response to an earlier request, before the proper one
		return send(socket, responseTo(earlier)+own)
	case 6: // a response that only the end of the connection ends
		send(socket, "HTTP/1.1 200 OK\r\n"+HeaderAttemptID+": "+id+"\r\n\r\n"+id)
		return false
	case 7: // a malformed line beside a promise
		return send(socket, malformedResponseTo(id, "503 Full", "X b: v\r\n"))
	case 8: // no status, and a proper response after it
		return send(socket, malformedResponseTo(id, "000 x", "")+own)
	case 9: // a malformed interim response before the proper one
		return send(socket, "HTTP/1.1 100 Continue\r\nX b: v\r\n\r\n"+own)
	}
	return send(socket, own)
}

// malformedResponseTo returns a response to an attempt in which a promise, a body and an id must not be believed.
func malformedResponseTo(id, status, field string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 1\r\n\r\nx", status, HeaderAttemptID, id, HeaderNotExecuted, field)
}

// responseTo returns the response to an attempt, whose body is the attempt id.
func responseTo(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderAttemptID, id, len(id), id)
}

func send(socket *net.TCPConn, text string) bool {
	_, err := io.WriteString(socket, text)
	return err == nil
}

// Whatever a backend does, a response that is returned belongs to its request, a request is sent at most once, and a request
// that ends as not sent or not executed did not run.
func TestAnswersOfAnUnreliableBackend(t *testing.T) {
	const (
		seeds          = 10
		callers        = 6
		callsPerCaller = 40
		callTimeout    = 20 * time.Millisecond
	)
	answered, mayHaveRun := 0, 0
	for seed := range uint64(seeds) {
		b := newUnreliableBackend(t, seed)
		client := testClient(t, 0)
		client.SetBackends(discovery.NewList([]discovery.Backend{b.Backend}))
		failures := make([]*Failure, callers*callsPerCaller)
		var calling sync.WaitGroup
		for caller := range callers {
			calling.Go(func() {
				for i := range callsPerCaller {
					number := caller*callsPerCaller + i
					failures[number] = b.call(t, client, attemptID(number), callTimeout)
				}
			})
		}
		calling.Wait()
		client.SetBackends(discovery.NewList(nil))
		b.mutex.Lock()
		for number, failure := range failures {
			id := attemptID(number)
			switch {
			case b.received[id] > 1:
				t.Errorf("seed %d: %s was sent %d times, want at most once", seed, id, b.received[id])
			case failure == nil:
				answered++
			case failure.Outcome == NotSent && b.received[id] > 0:
				t.Errorf("seed %d: %s was sent, but ended with %v", seed, id, failure)
			case failure.Outcome == NotExecuted && !b.refused[id]:
				t.Errorf("seed %d: %s may have run, but ended with %v", seed, id, failure)
			case failure.Outcome == MayHaveRun:
				mayHaveRun++
			}
		}
		b.mutex.Unlock()
	}
	t.Logf("%d answered, %d may have run", answered, mayHaveRun)
	if answered == 0 || mayHaveRun == 0 {
		t.Errorf("got %d answered and %d that may have run, want some of each", answered, mayHaveRun)
	}
}

// attemptID returns the attempt id of a request by its number.
func attemptID(number int) string { return fmt.Sprintf("%016x", number+1) }

// call sends one request, and checks that a complete response belongs to it.
func (b *unreliableBackend) call(t *testing.T, client *Client, id string, timeout time.Duration) *Failure {
	r := testRequest()
	r.AttemptID = id
	r.Deadline = time.Now().Add(timeout)
	response, failure := client.Do(t.Context(), b.Backend, r)
	if failure != nil {
		return failure
	}
	defer response.Close()
	body, err := response.ReadAll()
	if err == nil && string(body) != id {
		t.Errorf("request %s: got the response to %q", id, body)
	}
	if err != nil {
		return &Failure{Outcome: MayHaveRun, Err: err}
	}
	return nil
}
