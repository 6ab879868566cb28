package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"reflect"
	"strings"
	"sync"
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

func TestCallCarriesBodiesOfAllSizes(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(testKind, echo)
	a.Start()
	b.Start()
	for _, size := range []int{0, 1, 100, writeBufferSize, writeBufferSize + 1, 1 << 20, MaxBody} {
		body := bytes.Repeat([]byte{'x'}, size)
		answer, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind, Body: body})
		if err != nil {
			t.Fatalf("Call with %d bytes: got error %v", size, err)
		}
		if answer.Kind != testKind || !bytes.Equal(answer.Body, body) {
			t.Fatalf("size of the response: want %d, got %d", size, len(answer.Body))
		}
	}
	_, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind, Body: make([]byte, MaxBody+1)})
	wantKind(t, err, fault.BodyTooLarge)
}

// What is sent counts for the package of its kind, by whether the peer is in the own zone; what is not sent does not.
func TestTrafficIsCounted(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(GossipKinds, echo)
	received := make(chan Message, 1)
	b.HandleDatagram(MemberKinds+1, func(_ netip.AddrPort, m Message) { received <- m })
	a.SetSameZone(func(to netip.AddrPort) bool { return to != b.Address() })
	a.Start()
	b.Start()
	const size = 1000
	body := make([]byte, size)
	if _, err := a.Call(testContext(t), b.Address(), Message{Kind: GossipKinds, Body: body}); err != nil {
		t.Fatal(err)
	}
	a.Datagram(b.Address(), Message{Kind: MemberKinds + 1, Body: body})
	a.Datagram(b.Address(), Message{Kind: MemberKinds + 1, Body: make([]byte, MaxDatagram)})
	select {
	case <-received:
	case <-testContext(t).Done():
		t.Fatal("no datagram arrived in time")
	}
	within := func(sent uint64) bool { return sent >= size && sent < size+2*frameFields }
	if sent := a.Sent(GossipKinds); sent.SameZone != 0 || !within(sent.OtherZones) {
		t.Errorf("sent by the caller: got %+v", sent)
	}
	if sent := b.Sent(GossipKinds); sent.OtherZones != 0 || !within(sent.SameZone) {
		t.Errorf("sent by the responder: got %+v", sent)
	}
	if sent := a.Sent(MemberKinds); sent.SameZone != 0 || !within(sent.OtherZones) {
		t.Errorf("datagrams sent: got %+v", sent)
	}
	if sent := a.Sent(ChainKinds); sent != (Traffic{}) {
		t.Errorf("sent by a package without messages: got %+v, want nothing", sent)
	}
	byPackage := a.SentByPackage()
	if len(byPackage) != 2 || byPackage[0].Package != "member" || byPackage[1].Package != "gossip" || byPackage[1].Traffic != a.Sent(GossipKinds) {
		t.Errorf("SentByPackage: got %+v", byPackage)
	}
}

func TestCallsShareOneConnectionInBothDirections(t *testing.T) {
	a, b := listen(t), listen(t)
	var origins sync.Map
	remember := func(_ context.Context, from netip.AddrPort, m Message) (Message, error) {
		origins.Store(from, true)
		return m, nil
	}
	a.Handle(testKind, remember)
	b.Handle(testKind, remember)
	a.Start()
	b.Start()
	call := func(from, to *Transport) {
		if _, err := from.Call(testContext(t), to.Address(), Message{Kind: testKind}); err != nil {
			t.Error(err)
		}
	}
	var calls sync.WaitGroup
	for range 100 {
		calls.Go(func() { call(a, b) })
	}
	calls.Wait()
	call(b, a)
	for _, transport := range []*Transport{a, b} {
		if count := connectionCount(transport); count != 1 {
			t.Errorf("connections: got %d, want 1", count)
		}
		if _, known := origins.Load(transport.Address()); !known {
			t.Errorf("sender of messages: want the listening address %v", transport.Address())
		}
	}
}

func connectionCount(t *Transport) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.open)
}

func TestCallsAtTheSameTimeFromBothSides(t *testing.T) {
	a, b := listen(t), listen(t)
	a.Handle(testKind, echo)
	b.Handle(testKind, echo)
	a.Start()
	b.Start()
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() {
			if _, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind}); err != nil {
				t.Error(err)
			}
		})
		calls.Go(func() {
			if _, err := b.Call(testContext(t), a.Address(), Message{Kind: testKind}); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
}

func TestErrorsOfHandlersKeepKindAndText(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(testKind, func(context.Context, netip.AddrPort, Message) (Message, error) {
		return Message{}, fault.New(fault.VersionConflict, "version %d is current", 7)
	})
	a.Start()
	b.Start()
	_, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind})
	wantKind(t, err, fault.VersionConflict)
	if !strings.Contains(err.Error(), "version 7 is current") {
		t.Errorf("text of the error: got %q", err)
	}
	_, err = a.Call(testContext(t), b.Address(), Message{Kind: otherKind})
	wantKind(t, err, fault.NotReady)
}

func TestCallToClosedPortIsNotReadyAndTheNextConnects(t *testing.T) {
	a, b := listen(t), listen(t)
	a.Start()
	address := b.Address()
	b.Close()
	_, err := a.Call(testContext(t), address, Message{Kind: testKind})
	wantKind(t, err, fault.NotReady)

	again, err := Listen(address, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	again.Handle(testKind, echo)
	again.Start()
	if _, err := a.Call(testContext(t), address, Message{Kind: testKind}); err != nil {
		t.Error(err)
	}
}

func TestCallWhoseConnectionBreaksIsUnclear(t *testing.T) {
	a, b := listen(t), listen(t)
	arrived := make(chan struct{})
	b.Handle(testKind, func(ctx context.Context, _ netip.AddrPort, m Message) (Message, error) {
		close(arrived)
		<-ctx.Done()
		return m, nil
	})
	a.Start()
	b.Start()
	failed := make(chan error)
	go func() {
		_, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind})
		failed <- err
	}()
	<-arrived
	a.Disconnect(b.Address())
	wantKind(t, <-failed, fault.Unclear)
}

func TestCallEndsWithItsContext(t *testing.T) {
	a, b := listen(t), listen(t)
	remaining := make(chan time.Duration, 1)
	release := make(chan struct{})
	defer close(release)
	b.Handle(testKind, func(ctx context.Context, _ netip.AddrPort, m Message) (Message, error) {
		deadline, _ := ctx.Deadline()
		remaining <- time.Until(deadline)
		<-release
		return m, nil
	})
	a.Start()
	b.Start()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := a.Call(ctx, b.Address(), Message{Kind: testKind})
	wantKind(t, err, fault.Unclear)
	if left := <-remaining; left > 200*time.Millisecond {
		t.Errorf("time of the handler: got %v, want 200 ms at most", left)
	}
	_, err = a.Call(ctx, b.Address(), Message{Kind: testKind})
	wantKind(t, err, fault.NotReady)
}

func TestAbandonedCallThatWasNotWrittenIsNeverSent(t *testing.T) {
	a := listen(t)
	c := newConnection(a, netip.MustParseAddrPort("127.0.0.1:9"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	call := &pendingCall{result: make(chan callResult, 1)}
	if err := c.enqueue(queuedFrame{data: []byte("request"), call: 1}, call); err != nil {
		t.Fatal(err)
	}
	_, err := c.await(ctx, 1, call)
	wantKind(t, err, fault.NotReady)
	if frames := c.takeQueue(); len(frames) != 1 {
		t.Errorf("queued frames: got %d, want only the hello", len(frames))
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
	a.Datagram(b.Address(), Message{Kind: testKind, Body: []byte("hello")})
	if from := <-received; from != a.Address() {
		t.Errorf("sender: got %v, want %v", from, a.Address())
	}
}

func TestRestartedPeerReplacesItsEarlierConnection(t *testing.T) {
	a := listen(t)
	a.Start()
	address := netip.MustParseAddrPort("127.0.0.1:9")
	earlier := &connection{transport: a, to: address, generation: 1, pending: make(map[uint64]*pendingCall), queueReady: make(chan struct{}, 1)}
	call := &pendingCall{sent: true, result: make(chan callResult, 1)}
	earlier.pending[1] = call
	a.connections[address] = earlier

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

func TestMalformedFramesEndTheConnection(t *testing.T) {
	a := listen(t)
	a.Start()
	request := &frame{frameType: requestFrame, kind: testKind, call: 1}
	withoutHello, err := request.encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"no hello":         withoutHello,
		"too long":         {0, 0, 0, 0, 255, 255, 255, 255},
		"several segments": {3, 0, 0, 0, 1, 0, 0, 0},
		"no root":          {0, 0, 0, 0, 1, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8},
	} {
		socket, err := net.Dial("tcp4", a.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := socket.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := socket.Write(data); err != nil {
			t.Fatal(err)
		}
		_, err = socket.Read(make([]byte, 1))
		if err == nil || isTimeout(err) {
			t.Errorf("%s: got the connection open (%v), want it closed", name, err)
		}
		_ = socket.Close()
	}
}

func TestFrameRoundTrip(t *testing.T) {
	for _, f := range []*frame{
		{frameType: helloFrame, address: netip.MustParseAddrPort("10.1.2.3:7660"), generation: 9},
		{frameType: requestFrame, kind: 3, call: 7, remaining: 1500 * time.Microsecond, body: []byte("abc")},
		{frameType: responseFrame, kind: 3, call: 7, body: make([]byte, 100_000)},
		{frameType: failureFrame, call: 7, errorKind: fault.Unclear, body: []byte("text")},
		{frameType: oneWayFrame, kind: 3},
		{frameType: datagramFrame, kind: 3, body: []byte("abc")},
		{frameType: retireFrame},
	} {
		data, err := f.encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := readFrame(bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.body, f.body) {
			t.Errorf("body: want %d bytes, got %d", len(f.body), len(got.body))
		}
		got.body, f.body = nil, nil
		if !reflect.DeepEqual(got, f) {
			t.Errorf("got %+v, want %+v", got, f)
		}
	}
}

func TestCallToItself(t *testing.T) {
	a := listen(t)
	a.Handle(testKind, echo)
	a.Start()
	for range 3 {
		if _, err := a.Call(testContext(t), a.Address(), Message{Kind: testKind}); err != nil {
			t.Fatal(err)
		}
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(testKind, echo)
	release := make(chan struct{})
	entered := make(chan struct{})
	b.Handle(otherKind, func(_ context.Context, _ netip.AddrPort, m Message) (Message, error) {
		close(entered)
		<-release
		return m, nil
	})
	a.Start()
	b.Start()
	call := func() error {
		_, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	first := a.connection(b.Address())

	slow := make(chan error)
	go func() {
		_, err := a.Call(testContext(t), b.Address(), Message{Kind: otherKind})
		slow <- err
	}()
	<-entered
	for range 2 * idleChecksToRetire {
		a.checkIdleOnce()
		b.checkIdleOnce()
	}
	if a.connection(b.Address()) != first {
		t.Fatal("connection with a pending call: got retired, want kept")
	}
	close(release)
	if err := <-slow; err != nil {
		t.Fatal(err)
	}

	for range idleChecksToRetire + 1 {
		a.checkIdleOnce()
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	if a.connection(b.Address()) == first {
		t.Error("idle connection: got used again, want another one")
	}
}

func TestCallsGoOnWhileConnectionsAreRetired(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(testKind, echo)
	a.Start()
	b.Start()
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			for range 200 {
				if _, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for range 50 {
		if c := a.connection(b.Address()); c != nil {
			c.retire()
		}
	}
	calls.Wait()
}

// TestCallOutlivesManyRetirements retires each connection as soon as there is one, more often than closed ones are tried.
func TestCallOutlivesManyRetirements(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(testKind, echo)
	a.Start()
	b.Start()
	ended, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for range 5000 {
			select {
			case <-ended:
				return
			default:
				a.connection(b.Address()).retire()
			}
		}
	}()
	for range 100 {
		if _, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind}); err != nil {
			t.Error(err)
		}
	}
	close(ended)
	<-stopped
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
