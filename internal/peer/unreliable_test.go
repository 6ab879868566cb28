package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"nickelline/internal/fault"
)

// unreliablePeer responds to calls in the ways in which a slow, partitioned, killed or restarted peer may fail: late,
// twice, out of order, to abandoned calls, truncated, or not at all. It counts the requests that it receives.
type unreliablePeer struct {
	t        *testing.T
	listener *net.TCPListener
	address  netip.AddrPort

	mutex    sync.Mutex
	random   *rand.Rand
	received map[uint64]int // how often each request arrived, by the number in its body
}

func newUnreliablePeer(t *testing.T, seed uint64) *unreliablePeer {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	p := &unreliablePeer{
		t: t, listener: listener, address: listener.Addr().(*net.TCPAddr).AddrPort(),
		random: rand.New(rand.NewPCG(seed, 5)), received: make(map[uint64]int),
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			socket, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			serving.Go(func() { p.serve(socket) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return p
}

func (p *unreliablePeer) randomInt(n int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.IntN(n)
}

// serve serves one connection. Each has another generation, as if the peer had been restarted at its address.
func (p *unreliablePeer) serve(socket *net.TCPConn) {
	defer socket.Close()
	if err := p.write(socket, &frame{frameType: helloFrame, address: p.address, generation: uint64(1 + p.randomInt(1000))}); err != nil {
		return
	}
	reader := bufio.NewReader(socket)
	var unanswered []*frame // requests without a response yet
	for {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		if f.frameType != requestFrame {
			continue
		}
		p.record(f)
		if unanswered = p.respond(socket, append(unanswered, f)); unanswered == nil {
			return
		}
	}
}

func (p *unreliablePeer) record(f *frame) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.received[binary.LittleEndian.Uint64(f.body)]++
}

// respond responds to some of the unanswered requests and returns the others, or nil to end the connection.
func (p *unreliablePeer) respond(socket *net.TCPConn, unanswered []*frame) []*frame {
	last := unanswered[len(unanswered)-1]
	switch p.randomInt(10) {
	case 0: // no response for now
		return unanswered
	case 1: // all unanswered requests, the newest first
		for i := len(unanswered) - 1; i >= 0; i-- {
			if p.write(socket, responseTo(unanswered[i])) != nil {
				return nil
			}
		}
		return unanswered[:0:len(unanswered)]
	case 2: // twice
		for range 2 {
			if p.write(socket, responseTo(last)) != nil {
				return nil
			}
		}
	case 3: // a response to a call that was never made
		stray := responseTo(last)
		stray.callID += 1 << 40
		if p.write(socket, stray) != nil {
			return nil
		}
		return unanswered
	case 4: // half a response, then a reset
		data, _ := responseTo(last).encode()
		_, _ = socket.Write(data[:len(data)/2])
		_ = socket.SetLinger(0)
		return nil
	case 5: // a reset
		_ = socket.SetLinger(0)
		return nil
	default:
		if p.write(socket, responseTo(last)) != nil {
			return nil
		}
	}
	return unanswered[:len(unanswered)-1]
}

func (p *unreliablePeer) write(socket *net.TCPConn, f *frame) error {
	data, err := f.encode()
	if err != nil {
		return err
	}
	_, err = socket.Write(data)
	return err
}

// responseTo returns a response with the body of the request.
func responseTo(f *frame) *frame {
	return &frame{frameType: responseFrame, kind: f.kind, callID: f.callID, body: f.body}
}

// Whatever a peer does, a response reaches its own call or none, a request is sent at most once, and the request of a
// call that fails with fault.NotReady was not sent.
func TestResponsesOfAnUnreliablePeer(t *testing.T) {
	const (
		seeds       = 12
		callers     = 8
		callsOfEach = 60
		callTime    = 15 * time.Millisecond
		longestBody = 3000
	)
	answered, lost, unsent := 0, 0, 0
	for seed := range uint64(seeds) {
		p := newUnreliablePeer(t, seed)
		a := listen(t)
		a.Start()
		callErrors := make([]error, callers*callsOfEach)
		var calling sync.WaitGroup
		for caller := range callers {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			calling.Go(func() {
				for i := range callsOfEach {
					number := caller*callsOfEach + i
					body := binary.LittleEndian.AppendUint64(nil, uint64(number))
					body = append(body, bytes.Repeat([]byte{byte(number)}, random.IntN(longestBody))...)
					ctx, cancel := context.WithTimeout(context.Background(), callTime)
					response, err := a.Call(ctx, p.address, Message{Kind: testKind, Body: body})
					cancel()
					if err == nil && !bytes.Equal(response.Body, body) {
						t.Errorf("seed %d: call %d: got the response of another call", seed, number)
					}
					callErrors[number] = err
				}
			})
		}
		calling.Wait()
		a.Close()
		p.mutex.Lock()
		for number, err := range callErrors {
			count := p.received[uint64(number)]
			switch {
			case count > 1:
				t.Errorf("seed %d: request %d: got sent %d times, want once at most", seed, number, count)
			case err == nil:
				answered++
			case fault.KindOf(err) == fault.NotReady:
				unsent++
				if count > 0 {
					t.Errorf("seed %d: request %d: got sent although its call failed with %v", seed, number, err)
				}
			default:
				lost++
			}
		}
		p.mutex.Unlock()
	}
	t.Logf("%d calls answered, %d lost, %d not sent", answered, lost, unsent)
	if answered == 0 || lost == 0 {
		t.Errorf("got %d calls answered and %d lost, want some of each", answered, lost)
	}
}
