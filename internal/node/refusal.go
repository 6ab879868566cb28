package node

import (
	"net"
	"syscall"
)

// turnAway answers a connection that there is no room for.
func turnAway(tcp *net.TCPConn) {
	writeRefusal(tcp)
	hangUp(tcp)
}

// writeRefusal writes to a connection that has no answer on its way: its send buffer is empty and takes the refusal at once.
// There is no deadline, which would be over before the write where this process gets no processor for a while.
func writeRefusal(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		for {
			_, err := syscall.SendmsgN(int(fd), []byte(refusalResponse), nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
			if err != syscall.EINTR {
				return
			}
		}
	})
}

// hangUp closes a connection behind its last answer. What has come meanwhile is thrown away: a close over unread bytes is
// a reset, which may overtake the answer. Nobody waits for more, so that floods hold no descriptors.
func hangUp(tcp *net.TCPConn) error {
	tcp.CloseWrite()
	if raw, err := tcp.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			var rest [4 << 10]byte
			for thrown := 0; thrown < maxDiscarded; {
				n, _, err := syscall.Recvfrom(int(fd), rest[:], syscall.MSG_DONTWAIT)
				if n <= 0 && err != syscall.EINTR {
					return
				}
				thrown += max(0, n)
			}
		})
	}
	return tcp.Close()
}
