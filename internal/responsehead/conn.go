package responsehead

import "net"

// Conn is a connection that carries requests without a body and their responses, one after the other, and whose responses are checked.
type Conn struct {
	net.Conn
	responses *Reader
}

// NewConn returns a connection that checks the responses that come on conn. Each Write must be a whole request.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, responses: NewReader(conn)} }

// Write writes a request.
func (c *Conn) Write(request []byte) (int, error) {
	c.responses.ExpectResponse()
	return c.Conn.Write(request)
}

// Read reads from the response. Its error is a *MalformedError if the head is malformed.
func (c *Conn) Read(p []byte) (int, error) { return c.responses.Read(p) }
