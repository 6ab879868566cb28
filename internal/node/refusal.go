package node

import (
	"errors"
	"net"
	"syscall"
)

const (
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// maxDiscarded bounds the bytes that are discarded at a close. It is what net/http reads of a body for the same end.
	maxDiscarded = 256 << 10
)

// turnAway refuses and closes a connection that there is no room for.
func turnAway(tcp *net.TCPConn) {
	writeRefusal(tcp)
	_ = hangUp(tcp) // nothing depends on how it closes
}

// writeRefusal writes the refusal to a connection that has no answer on its way: its send buffer is empty and takes the
// refusal at once. There is no deadline, which would be over before the write where this process gets no processor for a
// while.
func writeRefusal(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		for {
			_, err := syscall.SendmsgN(int(fd), []byte(refusalResponse), nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
			if !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
}

// hangUp closes a connection behind its last answer. What has come meanwhile is discarded: a close over unread bytes is a
// reset, which may overtake the answer. Nothing waits for more, so that floods hold no descriptors.
func hangUp(tcp *net.TCPConn) error {
	tcp.CloseWrite()
	if raw, err := tcp.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			var rest [4 << 10]byte
			for discarded := 0; discarded < maxDiscarded; {
				n, _, err := syscall.Recvfrom(int(fd), rest[:], syscall.MSG_DONTWAIT)
				if n <= 0 && !errors.Is(err, syscall.EINTR) {
					return
				}
				discarded += max(0, n)
			}
		})
	}
	return tcp.Close()
}
