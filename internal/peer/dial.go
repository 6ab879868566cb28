package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// dialAttemptTimeouts are the timeouts of the consecutive attempts to open one connection; their sum is dialTimeout.
// The SYN is lost if the peer's machine is not up yet, and the kernel repeats it only after a second or more; a new
// attempt sends one sooner. The last timeout is long enough for a link on which packets are queued.
var dialAttemptTimeouts = []time.Duration{150 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond}

// maxDialRestarts is the maximum number of times that a signal that the peer is up restarts a dial. It makes the dial
// fail for a peer that sends to this process but cannot be reached.
const maxDialRestarts = 4

// dialFunc opens one connection.
type dialFunc func(context.Context) (net.Conn, error)

// dialWithRetries makes one attempt with each of the timeouts, in order. It returns after the first attempt that opens
// a connection or fails with an error other than a timeout. A signal on peerUp cancels the current attempt and starts
// again with the first timeout, maxDialRestarts times at most: an attempt that began before the peer was up would wait
// for the kernel to repeat its lost SYN.
func dialWithRetries(ctx context.Context, timeouts []time.Duration, peerUp <-chan struct{}, dial dialFunc) (net.Conn, error) {
	err := os.ErrDeadlineExceeded
	restarts := 0
	for i := 0; i < len(timeouts); i++ {
		if restarts == maxDialRestarts {
			peerUp = nil
		}
		socket, interrupted, failure := dialOnce(ctx, timeouts[i], peerUp, dial)
		switch {
		case failure == nil:
			return socket, nil
		case interrupted:
			restarts++
			i = -1
		case !isTimeout(failure) || ctx.Err() != nil:
			return nil, failure
		}
		err = failure
	}
	return nil, err
}

// dialOnce dials with a timeout. It cancels the attempt and returns interrupted as true when peerUp is signalled.
func dialOnce(
	ctx context.Context, timeout time.Duration, peerUp <-chan struct{}, dial dialFunc,
) (socket net.Conn, interrupted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	var reported atomic.Bool
	go func() {
		select {
		case <-peerUp:
			reported.Store(true)
			cancel()
		case <-ended:
		}
	}()
	socket, err = dial(ctx)
	return socket, reported.Load(), err
}

// isTimeout reports whether an error is a network timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
