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

// unreliablePeer answers calls in every wrong way that a peer which is slow, partitioned, killed or restarted may: late, twice, in
// another order, to abandoned calls, truncated, or not at all. It records what it received.
type unreliablePeer struct {
	t        *testing.T
	listener *net.TCPListener
	address  netip.AddrPort

	mutex    sync.Mutex
	random   *rand.Rand
	received map[uint64]int // requests by number
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

func (p *unreliablePeer) draw(n int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.IntN(n)
}

// serve is one connection. Each has another generation, as if the peer had been restarted at its address.
func (p *unreliablePeer) serve(socket *net.TCPConn) {
	defer socket.Close()
	if err := p.write(socket, &frame{frameType: helloFrame, address: p.address, generation: uint64(1 + p.draw(1000))}); err != nil {
		return
	}
	reader := bufio.NewReader(socket)
	var owed []*frame // requests without an answer yet
	for {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		if f.frameType != requestFrame {
			continue
		}
		p.record(f)
		if owed = p.respond(socket, append(owed, f)); owed == nil {
			return
		}
	}
}

func (p *unreliablePeer) record(f *frame) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.received[binary.LittleEndian.Uint64(f.body)]++
}

// respond answers some of the requests that are owed an answer, and returns the rest, nil once the connection is at its end.
func (p *unreliablePeer) respond(socket *net.TCPConn, owed []*frame) []*frame {
	last := owed[len(owed)-1]
	switch p.draw(10) {
	case 0: // no response for now
		return owed
	case 1: // all that is owed, the newest first
		for i := len(owed) - 1; i >= 0; i-- {
			if p.write(socket, responseTo(owed[i])) != nil {
				return nil
			}
		}
		return owed[:0:len(owed)]
	case 2: // twice
		for range 2 {
			if p.write(socket, responseTo(last)) != nil {
				return nil
			}
		}
	case 3: // an answer to a call that was never made
		stray := responseTo(last)
		stray.call += 1 << 40
		if p.write(socket, stray) != nil {
			return nil
		}
		return owed
	case 4: // half an answer, and a reset
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
	return owed[:len(owed)-1]
}

func (p *unreliablePeer) write(socket *net.TCPConn, f *frame) error {
	data, err := f.encode()
	if err != nil {
		return err
	}
	_, err = socket.Write(data)
	return err
}

// responseTo repeats the body of a request behind its number.
func responseTo(f *frame) *frame {
	return &frame{frameType: responseFrame, kind: f.kind, call: f.call, body: f.body}
}

// Whatever a peer does, an answer reaches the call that it belongs to or nobody, a request is sent at most once, and a call that
// ends as not sent was not sent.
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
		errorsOf := make([]error, callers*callsOfEach)
		var calling sync.WaitGroup
		for caller := range callers {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			calling.Go(func() {
				for i := range callsOfEach {
					number := caller*callsOfEach + i
					body := binary.LittleEndian.AppendUint64(nil, uint64(number))
					body = append(body, bytes.Repeat([]byte{byte(number)}, random.IntN(longestBody))...)
					ctx, cancel := context.WithTimeout(context.Background(), callTime)
					answer, err := a.Call(ctx, p.address, Message{Kind: testKind, Body: body})
					cancel()
					if err == nil && !bytes.Equal(answer.Body, body) {
						t.Errorf("seed %d: call %d: got the response of another call", seed, number)
					}
					errorsOf[number] = err
				}
			})
		}
		calling.Wait()
		a.Close()
		p.mutex.Lock()
		for number, err := range errorsOf {
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
		t.Error("too few calls were tested")
	}
}
