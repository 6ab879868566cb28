package upstream

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"
)

// unreadPart is how much Unread gives of what lies on a connection: enough to tell the beginning of an HTTP/1 answer.
const unreadPrefix = len("HTTP/1.")

// Conn is a connection to a backend. It carries one request at a time, and belongs to its holder until it is released.
type Conn struct {
	net.Conn
	// Reader reads what the backend sends, up to the bound that Allow has set.
	Reader *bufio.Reader

	backend   *Backend
	readLimit *io.LimitedReader // under Reader
	idleSince time.Time         // made, or idle since
	createdAt time.Time
	requests  int // requests that were written to it
}

// Facts tell what a connection had been through by the time that a request was written to it.
type ConnHistory struct {
	Requests int           // requests before
	Age      time.Duration // since it was made
	Idle     time.Duration // since its last request ended
}

// Use counts a request that is about to be written, and tells what the connection has been through.
func (c *Conn) Use(now time.Time) ConnHistory {
	facts := ConnHistory{Requests: c.requests, Age: now.Sub(c.createdAt), Idle: now.Sub(c.idleSince)}
	c.requests++
	return facts
}

// Allow sets how many more bytes may be taken from the network. On a new connection it is none. Beyond the bound, Reader
// gives io.EOF.
func (c *Conn) SetReadLimit(bytes int64) { c.readLimit.N = bytes }

// Allowed is how many more bytes may be taken from the network.
func (c *Conn) ReadLimit() int64 { return c.readLimit.N }

// IdleSince tells when the connection was made or given back.
func (c *Conn) IdleSince() time.Time { return c.idleSince }

// Unread gives the beginning of what has come on a connection beyond what was read, and tells whether the connection is
// open. After a whole answer that text belongs to no request, and would be taken for the next one's answer.
func (c *Conn) Unread() (text string, open bool) {
	if n := c.Reader.Buffered(); n > 0 {
		next, _ := c.Reader.Peek(min(n, unreadPrefix))
		return string(next), true
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return "", false
	}
	err = raw.Read(func(fd uintptr) bool {
		var next [unreadPrefix]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		text, open = string(next[:max(0, n)]), n > 0 || err == syscall.EAGAIN
		return true
	})
	return text, open && err == nil
}
