package upstream

import (
	"errors"
	"net/http"
)

// ErrProtocolSwitched is returned for a response after which the connection no longer carries HTTP/1.1.
var ErrProtocolSwitched = errors.New("backend switched to another protocol")

// ReadHead reads the head of the final response to a request, and skips interim (1xx) responses. All of these heads together may
// have maxBytes. If one of them is malformed, the error is a *responsehead.MalformedError: nothing is known of the request, and the
// connection must be closed.
func (c *Conn) ReadHead(request *http.Request, maxBytes int64) (*http.Response, error) {
	c.SetReadLimit(maxBytes) // http.ReadResponse does not limit the size of a head
	for {
		head, err := http.ReadResponse(c.Reader, request)
		switch {
		case err != nil:
			return nil, err
		case head.StatusCode >= http.StatusOK:
			return head, nil
		case head.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrProtocolSwitched
		}
	}
}

// ResponseHasBegun reports whether any byte of the response to the last request was read.
func (c *Conn) ResponseHasBegun() bool { return c.responses.HasBegun() }
