package peer

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/fault"
)

const (
	testKind    Kind = 0xF00
	otherKind   Kind = 0xF01
	testTimeout      = 10 * time.Second
)

func listen(t testing.TB) *Transport {
	t.Helper()
	transport, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	return transport
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func echo(_ context.Context, _ netip.AddrPort, m Message) (Message, error) { return m, nil }

func wantKind(t *testing.T, err error, kind fault.Kind) {
	t.Helper()
	if err == nil || fault.KindOf(err) != kind {
		t.Errorf("error %v: got kind %d, want kind %d", err, fault.KindOf(err), kind)
	}
}

func TestQueueIsBounded(t *testing.T) {
	a := listen(t)
	c := newConnection(a, netip.MustParseAddrPort("127.0.0.1:9"))
	frame := queuedFrame{data: make([]byte, maxQueuedBytes)}
	if err := c.enqueue(frame, nil); err != nil {
		t.Fatal(err)
	}
	if err := c.enqueue(frame, nil); err == nil {
		t.Error("queue over maxQueuedBytes: got no error, want errQueueFull")
	}
}

func TestSendKeepsOrder(t *testing.T) {
	const count = 1000
	a, b := listen(t), listen(t)
	received := make(chan uint64, count)
	b.HandleOneWay(testKind, func(_ netip.AddrPort, m Message) { received <- binary.BigEndian.Uint64(m.Body) })
	a.Start()
	b.Start()
	for i := range uint64(count) {
		a.Send(b.Address(), Message{Kind: testKind, Body: binary.BigEndian.AppendUint64(nil, i)})
	}
	for i := range uint64(count) {
		if got := <-received; got != i {
			t.Fatalf("message: got %d, want %d", got, i)
		}
	}
}

func TestDatagram(t *testing.T) {
	a, b := listen(t), listen(t)
	received := make(chan netip.AddrPort, 1)
	b.HandleDatagram(testKind, func(from netip.AddrPort, m Message) {
		if string(m.Body) == "hello" {
			received <- from
		}
	})
	a.Start()
	b.Start()
	a.SendDatagram(b.Address(), Message{Kind: testKind, Body: []byte("hello")})
	if from := <-received; from != a.Address() {
		t.Errorf("sender: got %v, want %v", from, a.Address())
	}
}

func TestRestartedPeerReplacesItsEarlierConnection(t *testing.T) {
	a := listen(t)
	a.Start()
	address := netip.MustParseAddrPort("127.0.0.1:9")
	earlier := &connection{transport: a, peerAddress: address, generation: 1, pending: make(map[uint64]*pendingCall), queueReady: make(chan struct{}, 1)}
	call := &pendingCall{sent: true, result: make(chan callResult, 1)}
	earlier.pending[1] = call
	a.connectionByPeer[address] = earlier

	socket, err := net.Dial("tcp4", a.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	hello := &frame{frameType: helloFrame, address: address, generation: 2}
	data, err := hello.encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := socket.Write(data); err != nil {
		t.Fatal(err)
	}
	result := <-call.result
	wantKind(t, result.err, fault.Unclear)
}

func BenchmarkCall(b *testing.B) {
	from, to := listen(b), listen(b)
	to.Handle(testKind, echo)
	from.Start()
	to.Start()
	body := make([]byte, 1000)
	b.RunParallel(func(workers *testing.PB) {
		for workers.Next() {
			if _, err := from.Call(context.Background(), to.Address(), Message{Kind: testKind, Body: body}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
