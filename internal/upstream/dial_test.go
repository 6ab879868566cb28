package upstream

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestUserTimeoutAndNoDelay(t *testing.T) {
	address, _ := listen(t)
	for _, want := range []time.Duration{0, 3 * time.Second} {
		c, err := dialTCP(0, want)(t.Context(), "tcp", address, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) {
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || got != int(want.Milliseconds()) {
				t.Errorf("TCP_USER_TIMEOUT: got %d ms, %v; want %v", got, err, want)
			}
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || got == 0 {
				t.Errorf("TCP_NODELAY: got %d, %v; want it set", got, err)
			}
		})
		c.Close()
	}
}
