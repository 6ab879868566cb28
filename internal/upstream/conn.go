package upstream

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"

	"nickelline/internal/responsehead"
)

// unreadPrefixLength is the greatest number of bytes that Unread returns: enough to recognize an HTTP/1 response.
const unreadPrefixLength = len("HTTP/1.")

// Conn is a connection to a backend. It carries one request at a time, and is owned by the caller of Acquire until Release.
type Conn struct {
	net.Conn
	// Reader reads what the backend sends, up to the limit that SetReadLimit has set.
	Reader *bufio.Reader

	backend   *Backend
	readLimit *io.LimitedReader    // below Reader
	responses *responsehead.Reader // below readLimit
	idleSince time.Time            // creation or last release
	createdAt time.Time
	requests  int // written so far
}

// ConnHistory describes the use of a connection before a request is written to it.
type ConnHistory struct {
	Requests int           // written before this one
	Age      time.Duration // since the connection was made
	Idle     time.Duration // since the connection was made or last released
}

// RecordRequest counts a request that is about to be written, and returns the history of the connection before it.
func (c *Conn) RecordRequest(now time.Time) ConnHistory {
	history := ConnHistory{Requests: c.requests, Age: now.Sub(c.createdAt), Idle: now.Sub(c.idleSince)}
	c.requests++
	c.responses.ExpectResponse()
	return history
}

// SetReadLimit sets how many more bytes may be read from the network. On a new connection the limit is 0. At the limit,
// Reader returns io.EOF.
func (c *Conn) SetReadLimit(bytes int64) { c.readLimit.N = bytes }

// ReadLimit returns how many more bytes may be read from the network.
func (c *Conn) ReadLimit() int64 { return c.readLimit.N }

// IdleSince returns when the connection was made or last released.
func (c *Conn) IdleSince() time.Time { return c.idleSince }

// Unread returns the beginning of what has arrived on the connection and was not read, and whether the connection is open.
// After a complete response such bytes belong to no request, and would be taken for the response to the next one.
func (c *Conn) Unread() (text string, open bool) {
	if n := c.Reader.Buffered(); n > 0 {
		next, _ := c.Reader.Peek(min(n, unreadPrefixLength))
		return string(next), true
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return "", false
	}
	err = raw.Read(func(fd uintptr) bool {
		var next [unreadPrefixLength]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		text, open = string(next[:max(0, n)]), n > 0 || err == syscall.EAGAIN
		return true
	})
	return text, open && err == nil
}
