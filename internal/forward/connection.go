package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nickelline/internal/upstream"
)

const (
	// userTimeout is how long written bytes may remain unacknowledged before a connection fails: a machine that has lost power
	// acknowledges nothing.
	userTimeout = 800 * time.Millisecond
	// TCP keep-alive probes on a quiet connection tell a machine that has lost power from a backend that is still working on a
	// request. The operating system takes their times in whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// keepAliveReserve is subtracted from the idle timeout that a backend states, so that no request is sent as
	// the backend closes the connection.
	keepAliveReserve = 250 * time.Millisecond
	// keepAliveLimit is the greatest idle timeout that is taken from a Keep-Alive field.
	keepAliveLimit = time.Hour
)

// backendConn is a connection together with the idle timeout that its backend has stated.
type backendConn struct {
	*net.TCPConn
	// attempts are those whose requests were written to the connection.
	attempts attemptSet
	// maxIdle is how long the connection may be idle, if limited is set.
	maxIdle time.Duration
	limited bool
}

// dial connects to a backend. It is the upstream.DialFunc of a Client.
func dial(ctx context.Context, network, address string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{
		Deadline: deadline,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: upstream.UserTimeoutControl(userTimeout),
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &backendConn{TCPConn: conn.(*net.TCPConn)}, nil
}

// expired reports whether a connection has been idle for longer than its backend keeps it open.
func expired(c *upstream.Conn, now time.Time) bool {
	b, ok := c.Conn.(*backendConn)
	return ok && b.limited && now.Sub(c.IdleSince()) >= b.maxIdle
}

// recordKeepAlive stores the idle timeout that the Keep-Alive field of a response states for its connection.
func recordKeepAlive(c *upstream.Conn, header http.Header) {
	b, ok := c.Conn.(*backendConn)
	if !ok {
		return
	}
	if limit, stated := keepAliveTimeout(header.Get("Keep-Alive")); stated {
		b.maxIdle = max(limit-keepAliveReserve, 0)
		b.limited = true
	}
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive field, and whether the field has a valid one.
func keepAliveTimeout(field string) (time.Duration, bool) {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(seconds >= 0) {
			return 0, false
		}
		seconds = min(seconds, keepAliveLimit.Seconds())
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}
