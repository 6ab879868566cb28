package node

import (
	"errors"
	"net"
	"syscall"
)

const (
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// maxDiscarded bounds the number of bytes that are discarded on a close. It equals the number of bytes that
	// net/http reads of a remaining body for the same purpose.
	maxDiscarded = 256 << 10
)

// refuseConnection refuses and closes a connection beyond the limit.
func refuseConnection(tcp *net.TCPConn) {
	writeRefusal(tcp)
	_ = closeAfterResponse(tcp) // nothing depends on how it closes
}

// writeRefusal writes the refusal to a connection with no response under way. The send buffer is therefore empty and
// accepts the refusal at once. writeRefusal sets no write deadline: if the process were not scheduled for a while, the
// deadline would pass before the write.
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

// closeAfterResponse closes a connection after its last response. It discards the data that has arrived in the
// meantime, because closing a socket with unread data sends a reset, which may overtake the response. It does not wait
// for more data, so that a client that keeps sending does not hold a descriptor.
func closeAfterResponse(tcp *net.TCPConn) error {
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
