package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc dials a connection by a deadline. The connection must be a syscall.Conn, as connections of package net are.
type DialFunc func(ctx context.Context, network, address string, deadline time.Time) (net.Conn, error)

// dialTCP returns a DialFunc for TCP connections, which have TCP_NODELAY set by package net. If userTimeout is zero,
// TCP_USER_TIMEOUT keeps the default of the system.
func dialTCP(timeout, userTimeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string, deadline time.Time) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout, Deadline: deadline}
		if userTimeout > 0 {
			dialer.Control = UserTimeoutControl(userTimeout)
		}
		return dialer.DialContext(ctx, network, address)
	}
}

// UserTimeoutControl returns a net.Dialer Control function that sets TCP_USER_TIMEOUT: how long written bytes may remain
// unacknowledged before the connection fails.
func UserTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
