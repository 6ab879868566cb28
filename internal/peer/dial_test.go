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

var testAttempts = []time.Duration{time.Millisecond, 2 * time.Millisecond, time.Minute}

// A machine that had no power when the opening packet came is asked again before the kernel would.
func TestDialRetriesAfterTimeout(t *testing.T) {
	tries := 0
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	socket, err := dialWithRetries(context.Background(), testAttempts, nil, func(ctx context.Context) (net.Conn, error) {
		tries++
		if tries < len(testAttempts) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		return near, nil
	})
	if err != nil || tries != len(testAttempts) {
		t.Fatalf("got %d attempts, error %v", tries, err)
	}
	_ = socket.Close()
}

func TestDialStopsWhenRefused(t *testing.T) {
	tries := 0
	_, err := dialWithRetries(context.Background(), testAttempts, nil, func(context.Context) (net.Conn, error) {
		tries++
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	})
	if !errors.Is(err, syscall.ECONNREFUSED) || tries != 1 {
		t.Fatalf("got %d attempts, error %v", tries, err)
	}
}

func TestDialStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	tries := 0
	_, err := dialWithRetries(ctx, testAttempts, nil, func(attempt context.Context) (net.Conn, error) {
		tries++
		cancel()
		<-attempt.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	})
	if err == nil || tries != 1 {
		t.Fatalf("got %d attempts, error %v", tries, err)
	}
}

// The attempts together take no longer than one connection may.
func TestDialAttemptsFitTheTimeout(t *testing.T) {
	var sum time.Duration
	for _, patience := range dialTimeouts {
		sum += patience
	}
	if sum > dialTimeout {
		t.Fatalf("sum of dialTimeouts: got %v, want %v", sum, dialTimeout)
	}
}

// An attempt that began before the peer was up does not wait for its timeout once the peer is heard.
func TestDialBeginsAnewWhenThePeerIsHeard(t *testing.T) {
	tries := 0
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	peerUp := make(chan struct{}, 1)
	socket, err := dialWithRetries(t.Context(), []time.Duration{time.Hour}, peerUp, func(ctx context.Context) (net.Conn, error) {
		if tries++; tries == 1 {
			peerUp <- struct{}{}
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		return near, nil
	})
	if err != nil || tries != 2 {
		t.Fatalf("got %d attempts, error %v; want 2 and none", tries, err)
	}
	_ = socket.Close()
}

// A peer that is heard again and again, and cannot be reached, fails.
func TestDialToAnUnreachablePeerThatIsHeardEnds(t *testing.T) {
	tries := 0
	peerUp := make(chan struct{}, 1)
	_, err := dialWithRetries(t.Context(), []time.Duration{time.Millisecond}, peerUp, func(ctx context.Context) (net.Conn, error) {
		tries++
		select {
		case peerUp <- struct{}{}:
		default:
		}
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	})
	if err == nil || tries > maxDialRestarts+1 {
		t.Fatalf("got %d attempts, error %v; want %d at most and one", tries, err, maxDialRestarts+1)
	}
}

// dialBlockedOnce has a transport's first dial hang, as to a machine without power.
func dialBlockedOnce(transport *Transport) (hanging <-chan struct{}) {
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

// A message that waits for a dial to a machine without power goes out as soon as that machine is heard, by a connection or
// by a datagram.
func TestQueuedMessageGoesOutWhenThePeerIsHeard(t *testing.T) {
	for name, announce := range map[string]func(from *Transport, to *Transport){
		"connection": func(from, to *Transport) { from.Send(to.Address(), Message{Kind: otherKind}) },
		"datagram":   func(from, to *Transport) { from.Datagram(to.Address(), Message{Kind: otherKind}) },
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			waiting, returning := listen(t), listen(t)
			returning.HandleOneWay(testKind, func(netip.AddrPort, Message) { close(received) })
			waiting.dialTimeouts = []time.Duration{time.Hour}
			hanging := dialBlockedOnce(waiting)
			waiting.Start()
			returning.Start()
			waiting.Send(returning.Address(), Message{Kind: testKind})
			<-hanging
			announce(returning, waiting)
			select {
			case <-received:
			case <-time.After(testTimeout):
				t.Fatal("the message does not arrive")
			}
		})
	}
}
