// Package checkeddial dials connections for clients of hertz, on which a response with a malformed head fails (package responsehead).
// The parser of hertz takes a status of 000 for 200, and lets pass control bytes in field names, first lines of other protocols and
// lengths that differ.
package checkeddial

import (
	"crypto/tls"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"nickelline/internal/responsehead"
)

// dialer is a dialer of checked connections.
type dialer struct{ network.Dialer }

// New returns a dialer for a client of hertz. Its connections may carry several requests, one after the other. They must not be
// secured by TLS, whose bytes are no response.
func New() network.Dialer { return dialer{standard.NewDialer()} }

// DialConnection connects to an address.
func (d dialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(n, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn}, nil
}

// checkedConn is a connection that checks the head of each response before hertz parses it: hertz peeks at the bytes of a head until it
// has all of them, and then skips them.
type checkedConn struct {
	network.Conn
	// checker checks what has arrived of the head; it starts anew with each Peek, since that returns the same bytes again.
	checker responsehead.Checker
	// expectsHead reports that a request was written, and the head of its final response was not skipped yet.
	expectsHead bool
}

// Flush sends a request that was written to the connection, or a part of it.
func (c *checkedConn) Flush() error {
	c.expectsHead = true
	return c.Conn.Flush()
}

// Peek returns the next n bytes without skipping them. Its error is a *responsehead.MalformedError if they, or others that have
// arrived behind them, are a malformed head.
func (c *checkedConn) Peek(n int) ([]byte, error) {
	next, err := c.Conn.Peek(n)
	if err != nil || !c.expectsHead {
		return next, err
	}
	if err := c.checkArrived(); err != nil {
		return nil, err
	}
	return next, nil
}

// checkArrived checks all bytes that have arrived and were not skipped.
func (c *checkedConn) checkArrived() error {
	arrived, err := c.Conn.Peek(c.Conn.Len())
	if err != nil {
		return err
	}
	c.checker.Begin()
	_, err = c.checker.Check(arrived)
	return err
}

// Skip skips bytes: a whole head, or a part of a body. An interim response leaves the head of the final one expected, unless that
// has arrived and been checked as well.
func (c *checkedConn) Skip(n int) error {
	if c.expectsHead && c.checker.IsComplete() {
		c.expectsHead = false
	}
	return c.Conn.Skip(n)
}

// ToHertzError returns an error of the connection in the form in which hertz looks for it.
func (c *checkedConn) ToHertzError(err error) error {
	if normalization, ok := c.Conn.(network.ErrorNormalization); ok {
		return normalization.ToHertzError(err)
	}
	return err
}
