package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// dialTimeouts are the timeouts of the attempts at one connection, dialTimeout together. The opening packet is lost
// when the other machine has no power yet, and the kernel repeats it only after a second or more: a new attempt sends
// it sooner. The last one is long enough for a link whose packets are queued.
var dialTimeouts = []time.Duration{150 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond}

// dialFunc opens one connection.
type dialFunc func(context.Context) (net.Conn, error)

// dialWithRetries dials with one timeout after the other. It ends at the first attempt that gets a connection or an
// error other than a timeout.
func dialWithRetries(ctx context.Context, attempts []time.Duration, dial dialFunc) (net.Conn, error) {
	err := os.ErrDeadlineExceeded
	for _, patience := range attempts {
		var socket net.Conn
		socket, err = dialWithin(ctx, patience, dial)
		if err == nil || !isTimeout(err) || ctx.Err() != nil {
			return socket, err
		}
	}
	return nil, err
}

// dialWithin dials with a timeout.
func dialWithin(ctx context.Context, patience time.Duration, dial dialFunc) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return dial(ctx)
}

// isTimeout reports whether an error is a timeout of the network.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
