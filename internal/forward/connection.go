package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"nickelline/internal/upstream"
)

const (
	// userTimeout is for how long what was written may stay without an acknowledgement: a machine without power is silent.
	userTimeout = 800 * time.Millisecond
	// Probes of a quiet connection tell a machine without power from a backend that works. The system counts in seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// keepAliveReserve is kept from the time for which a backend says that it keeps an idle connection.
	keepAliveReserve = 250 * time.Millisecond
	keepAliveLimit   = time.Hour
)

// backendConn is a connection that knows for how long the backend keeps it open.
type backendConn struct {
	*net.TCPConn
	// idleLimit is how long it may be idle, if limited.
	idleLimit time.Duration
	limited   bool
}

func dial(ctx context.Context, network, address string, deadline time.Time) (net.Conn, error) {
	d := net.Dialer{
		Deadline: deadline,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: setUserTimeout,
	}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &backendConn{TCPConn: conn.(*net.TCPConn)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// expired tells whether a connection has been idle for longer than its backend keeps it.
func expired(c *upstream.Conn, now time.Time) bool {
	b, ok := c.Conn.(*backendConn)
	return ok && b.limited && now.Sub(c.IdleSince()) >= b.idleLimit
}

// noteKeepAlive keeps what an answer tells of the time for which its connection may be idle.
func recordKeepAlive(c *upstream.Conn, header http.Header) {
	b, ok := c.Conn.(*backendConn)
	if !ok {
		return
	}
	if limit, told := keepAliveTimeout(header.Get("Keep-Alive")); told {
		b.idleLimit = max(limit-keepAliveReserve, 0)
		b.limited = true
	}
}

// keepAliveTimeout reads the time-out of a Keep-Alive field.
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
