package forward

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"nickelline/internal/discovery"
)

// unreliableBackend answers in the wrong ways that backends have: nothing, a reset, half an answer, a second answer behind the first
// or late, the answer of an earlier request, an answer without a length. It notes which requests it was sent.
type unreliableBackend struct {
	discovery.Backend
	listener *net.TCPListener

	mutex    sync.Mutex
	random   *rand.Rand
	received map[string]int  // by attempt
	refused  map[string]bool // those that it said it did not run
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
	defer socket.Close()
	reader := bufio.NewReader(socket)
	earlier := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(HeaderAttemptID)
		if !b.react(socket, id, earlier) {
			return
		}
		earlier = id
	}
}

// react answers a request, and reports whether the connection goes on.
func (b *unreliableBackend) react(socket *net.TCPConn, id, earlier string) bool {
	b.mutex.Lock()
	b.received[id]++
	choice := b.random.IntN(12)
	b.refused[id] = choice == 0
	b.mutex.Unlock()
	own := answerOf(id)
	switch choice {
	case 0: // not run
		return send(socket, "HTTP/1.1 503 Full\r\n"+HeaderAttemptID+": "+id+"\r\n"+HeaderNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
	case 1: // no answer
		return true
	case 2: // a reset
		_ = socket.SetLinger(0)
		return false
	case 3: // half an answer
		send(socket, own[:len(own)-3])
		return false
	case 4: // a second answer behind the first
		return send(socket, own+own)
	case 5: // the answer of an earlier request in the place of the own one, which follows
		return send(socket, answerOf(earlier)+own)
	case 6: // the end of the connection ends the answer
		send(socket, "HTTP/1.1 200 OK\r\n"+HeaderAttemptID+": "+id+"\r\n\r\n"+id)
		return false
	}
	return send(socket, own)
}

func answerOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderAttemptID, id, len(id), id)
}

func send(socket *net.TCPConn, text string) bool {
	_, err := io.WriteString(socket, text)
	return err == nil
}

// Whatever a backend does, an answer that is passed on is that of the request, a request is sent at most once, and one that counts as
// not sent or not executed did not run.
func TestAnswersOfAnUnreliableBackend(t *testing.T) {
	const (
		seeds       = 10
		callers     = 6
		callsOfEach = 40
		callTime    = 20 * time.Millisecond
	)
	answered, unknown := 0, 0
	for seed := range uint64(seeds) {
		b := newUnreliableBackend(t, seed)
		client := testClient(t, 0)
		client.SetBackends(discovery.NewList([]discovery.Backend{b.Backend}))
		failures := make([]*Failure, callers*callsOfEach)
		var calling sync.WaitGroup
		for caller := range callers {
			calling.Go(func() {
				for i := range callsOfEach {
					number := caller*callsOfEach + i
					failures[number] = b.call(t, client, attemptOf(number), callTime)
				}
			})
		}
		calling.Wait()
		client.SetBackends(discovery.NewList(nil))
		b.mutex.Lock()
		for number, failure := range failures {
			id := attemptOf(number)
			switch {
			case b.received[id] > 1:
				t.Errorf("seed %d: %s was sent %d times", seed, id, b.received[id])
			case failure == nil:
				answered++
			case failure.Outcome == NotSent && b.received[id] > 0:
				t.Errorf("seed %d: %s was sent, but ended with %v", seed, id, failure)
			case failure.Outcome == NotExecuted && !b.refused[id]:
				t.Errorf("seed %d: %s may have run, but ended with %v", seed, id, failure)
			case failure.Outcome == MayHaveRun:
				unknown++
			}
		}
		b.mutex.Unlock()
	}
	t.Logf("%d answered, %d may have run", answered, unknown)
	if answered == 0 || unknown == 0 {
		t.Error("too few outcomes occurred for a test of them all")
	}
}

func attemptOf(number int) string { return fmt.Sprintf("%016x", number+1) }

// call sends one request, and checks that a whole answer is its own.
func (b *unreliableBackend) call(t *testing.T, client *Client, id string, limit time.Duration) *Failure {
	r := testRequest()
	r.AttemptID = id
	r.Deadline = time.Now().Add(limit)
	response, failure := client.Do(t.Context(), b.Backend, r)
	if failure != nil {
		return failure
	}
	defer response.Close()
	body, err := response.ReadAll()
	if err == nil && string(body) != id {
		t.Errorf("%s got the answer %q", id, body)
	}
	if err != nil {
		return &Failure{Outcome: MayHaveRun, Err: err}
	}
	return nil
}
