package peer

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/fault"
)

func TestCallCarriesBodiesOfAllSizes(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(testKind, echo)
	a.Start()
	b.Start()
	for _, size := range []int{0, 1, 100, writeBufferSize, writeBufferSize + 1, 1 << 20, MaxBodyBytes} {
		body := bytes.Repeat([]byte{'x'}, size)
		response, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind, Body: body})
		if err != nil {
			t.Fatalf("Call with %d bytes: got error %v", size, err)
		}
		if response.Kind != testKind || !bytes.Equal(response.Body, body) {
			t.Fatalf("size of the response: want %d, got %d", size, len(response.Body))
		}
	}
	_, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind, Body: make([]byte, MaxBodyBytes+1)})
	wantKind(t, err, fault.BodyTooLarge)
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
			t.Errorf("senders of messages: got none with the listening address %v, want one", transport.Address())
		}
	}
}

func connectionCount(t *Transport) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.openConnections)
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
		t.Errorf("text of the error: got %q, want the text of the handler's error", err)
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
		t.Errorf("remaining time of the handler: got %v, want 200 ms at most", left)
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
	if err := c.enqueue(queuedFrame{data: []byte("request"), callID: 1}, call); err != nil {
		t.Fatal(err)
	}
	_, err := c.await(ctx, 1, call)
	wantKind(t, err, fault.NotReady)
	if frames := c.takeQueue(); len(frames) != 1 {
		t.Errorf("queued frames: got %d, want only the hello", len(frames))
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
