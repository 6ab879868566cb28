package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// dialTimeouts are the timeouts of the attempts at one connection, dialTimeout together. The opening packet is lost
// when the other machine has no power yet, and the kernel repeats it only after a second or more: a new attempt sends
// it sooner. The last one is long enough for a link whose packets are queued.
var dialTimeouts = []time.Duration{150 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond}

// maxDialRestarts bounds how often signals that the peer is up begin a dial anew: a peer that can be heard, and not reached,
// fails as any other.
const maxDialRestarts = 4

// dialFunc opens one connection.
type dialFunc func(context.Context) (net.Conn, error)

// dialWithRetries dials with one timeout after the other. It ends at the first attempt that gets a connection or an
// error other than a timeout. A signal that the peer is up ends the attempt under way and begins anew, maxDialRestarts times
// at most: an attempt that began before the peer was up would wait for the kernel to repeat its lost opening packet.
func dialWithRetries(ctx context.Context, attempts []time.Duration, peerUp <-chan struct{}, dial dialFunc) (net.Conn, error) {
	err := os.ErrDeadlineExceeded
	restarts := 0
	for i := 0; i < len(attempts); i++ {
		if restarts == maxDialRestarts {
			peerUp = nil
		}
		socket, interrupted, failure := dialUnlessUp(ctx, attempts[i], peerUp, dial)
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

// dialUnlessUp dials with a timeout, and gives up when the peer is reported to be up.
func dialUnlessUp(
	ctx context.Context, patience time.Duration, peerUp <-chan struct{}, dial dialFunc,
) (socket net.Conn, interrupted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
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

// isTimeout reports whether an error is a timeout of the network.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
