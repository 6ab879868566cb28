package peer

import (
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Timeouts that end connections to a peer that does not respond, because its machine is down or the network is
// partitioned.
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

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent data may stay unacknowledged.
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

// newDialer returns a dialer that sets all these timeouts on its sockets. A failure to set the user timeout is only
// logged, because the deadlines of calls still apply.
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

// newListenConfig returns the configuration of a listener whose connections use keep-alive.
func newListenConfig() *net.ListenConfig {
	config := &net.ListenConfig{KeepAliveConfig: keepAlive}
	config.SetMultipathTCP(false)
	return config
}
