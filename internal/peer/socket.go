package peer

import (
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// A peer without power or behind a network partition does not answer: these bounds end its connections.
const (
	dialTimeout       = time.Second
	userTimeout       = 3 * time.Second // for data that is not acknowledged
	keepAliveIdle     = 20 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveCount    = 2
)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// setUserTimeout bounds how long sent data may stay without acknowledgement.
func setUserTimeout(raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(descriptor uintptr) {
		result = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return result
}

// newDialer returns a dialer whose sockets have all bounds set. A failure to set one is logged: the deadlines of calls
// still hold.
func newDialer(log *zap.Logger) *net.Dialer {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, address string, raw syscall.RawConn) error {
			if err := setUserTimeout(raw); err != nil {
				log.Warn("set user timeout failed", zap.String("to", address), zap.Error(err))
			}
			return nil
		},
	}
	dialer.SetMultipathTCP(false)
	return dialer
}

// newListenConfig returns the configuration of a listener whose connections are kept alive.
func newListenConfig() *net.ListenConfig {
	config := &net.ListenConfig{KeepAliveConfig: keepAlive}
	config.SetMultipathTCP(false)
	return config
}
