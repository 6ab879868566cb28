package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

var testDialTimeouts = []time.Duration{time.Millisecond, 2 * time.Millisecond, time.Minute}

// The SYN is lost if the peer's machine is not up yet. A new attempt sends one before the kernel would repeat it.
func TestDialRetriesAfterTimeout(t *testing.T) {
	attempts := 0
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	socket, err := dialWithRetries(context.Background(), testDialTimeouts, nil, func(ctx context.Context) (net.Conn, error) {
		attempts++
		if attempts < len(testDialTimeouts) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		return near, nil
	})
	if err != nil || attempts != len(testDialTimeouts) {
		t.Fatalf("got %d attempts, error %v", attempts, err)
	}
	_ = socket.Close()
}

func TestDialStopsWhenRefused(t *testing.T) {
	attempts := 0
	_, err := dialWithRetries(context.Background(), testDialTimeouts, nil, func(context.Context) (net.Conn, error) {
		attempts++
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	})
	if !errors.Is(err, syscall.ECONNREFUSED) || attempts != 1 {
		t.Fatalf("got %d attempts, error %v", attempts, err)
	}
}

func TestDialStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	attempts := 0
	_, err := dialWithRetries(ctx, testDialTimeouts, nil, func(attempt context.Context) (net.Conn, error) {
		attempts++
		cancel()
		<-attempt.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	})
	if err == nil || attempts != 1 {
		t.Fatalf("got %d attempts, error %v", attempts, err)
	}
}

// The timeouts of all attempts must not add up to more than dialTimeout.
func TestDialAttemptsFitTheTimeout(t *testing.T) {
	var sum time.Duration
	for _, timeout := range dialAttemptTimeouts {
		sum += timeout
	}
	if sum > dialTimeout {
		t.Fatalf("sum of dialAttemptTimeouts: got %v, want %v at most", sum, dialTimeout)
	}
}

// An attempt that began before the peer was up restarts on a signal that the peer is up, instead of waiting for its
// timeout.
func TestDialRestartsWhenThePeerIsUp(t *testing.T) {
	attempts := 0
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	peerUp := make(chan struct{}, 1)
	socket, err := dialWithRetries(t.Context(), []time.Duration{time.Hour}, peerUp, func(ctx context.Context) (net.Conn, error) {
		if attempts++; attempts == 1 {
			peerUp <- struct{}{}
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		return near, nil
	})
	if err != nil || attempts != 2 {
		t.Fatalf("got %d attempts, error %v; want 2 and no error", attempts, err)
	}
	_ = socket.Close()
}

// A dial to a peer that keeps sending but cannot be reached must fail after a limited number of restarts.
func TestDialRestartsAreLimited(t *testing.T) {
	attempts := 0
	peerUp := make(chan struct{}, 1)
	_, err := dialWithRetries(t.Context(), []time.Duration{time.Millisecond}, peerUp, func(ctx context.Context) (net.Conn, error) {
		attempts++
		select {
		case peerUp <- struct{}{}:
		default:
		}
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	})
	if err == nil || attempts > maxDialRestarts+1 {
		t.Fatalf("got %d attempts, error %v; want %d at most and an error", attempts, err, maxDialRestarts+1)
	}
}

// blockFirstDial makes the first dial of a transport block, as if the peer's machine were down. The channel that it
// returns is closed when that dial has begun.
func blockFirstDial(transport *Transport) (blocked <-chan struct{}) {
	began := make(chan struct{})
	first := true
	transport.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		if !first {
			return nil
		}
		first = false
		close(began)
		<-ctx.Done()
		return ctx.Err()
	}
	return began
}

// A message that waits for a dial to a machine that is down is sent as soon as that machine connects or sends a
// datagram.
func TestQueuedMessageIsSentWhenThePeerIsUp(t *testing.T) {
	for name, announce := range map[string]func(from *Transport, to *Transport){
		"connection": func(from, to *Transport) { from.Send(to.Address(), Message{Kind: otherKind}) },
		"datagram":   func(from, to *Transport) { from.SendDatagram(to.Address(), Message{Kind: otherKind}) },
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			waiting, returning := listen(t), listen(t)
			returning.HandleOneWay(testKind, func(netip.AddrPort, Message) { close(received) })
			waiting.dialAttemptTimeouts = []time.Duration{time.Hour}
			blocked := blockFirstDial(waiting)
			waiting.Start()
			returning.Start()
			waiting.Send(returning.Address(), Message{Kind: testKind})
			<-blocked
			announce(returning, waiting)
			select {
			case <-received:
			case <-time.After(testTimeout):
				t.Fatal("queued message: got none in time, want it received")
			}
		})
	}
}
