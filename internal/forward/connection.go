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
	// userTimeout is how long written bytes may stay without an acknowledgement: a machine without power does not respond.
	userTimeout = 800 * time.Millisecond
	// Probes of a quiet connection distinguish a machine without power from a backend that works. The system counts in seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// keepAliveReserve is subtracted from the time for which a backend says that it keeps an idle connection.
	keepAliveReserve = 250 * time.Millisecond
	// keepAliveLimit bounds that time.
	keepAliveLimit = time.Hour
)

// backendConn is a connection that knows for how long the backend keeps it open.
type backendConn struct {
	*net.TCPConn
	// maxIdle is how long it may be idle, if limited.
	maxIdle time.Duration
	limited bool
}

// dial connects to a backend.
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

// expired reports whether a connection has been idle for longer than its backend keeps it.
func expired(c *upstream.Conn, now time.Time) bool {
	b, ok := c.Conn.(*backendConn)
	return ok && b.limited && now.Sub(c.IdleSince()) >= b.maxIdle
}

// recordKeepAlive keeps the time for which, by an answer, its connection may be idle.
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

// keepAliveTimeout returns the timeout of a Keep-Alive field, and whether there is one.
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
