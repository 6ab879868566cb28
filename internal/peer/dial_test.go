package peer

import (
	"context"
	"errors"
	"net"
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
	socket, err := dialWithRetries(context.Background(), testAttempts, func(ctx context.Context) (net.Conn, error) {
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
	_, err := dialWithRetries(context.Background(), testAttempts, func(context.Context) (net.Conn, error) {
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
	_, err := dialWithRetries(ctx, testAttempts, func(attempt context.Context) (net.Conn, error) {
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
