// Package operator is the client of the control API for operators' commands. It sends a call to one node after the other until
// one gives a definite answer. A call may therefore be sent more than once; the nodes apply each change only once.
package operator

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"

	"nickelline/internal/checkeddial"
	"nickelline/internal/pause"
)

// Defaults of a client.
const (
	// DefaultTimeout limits the time of a call over all attempts.
	DefaultTimeout = 30 * time.Second

	attemptTimeout            = time.Second
	attemptTimeoutPerMegabyte = time.Second
	initialBackoff            = 100 * time.Millisecond
	maxBackoff                = 2 * time.Second
	maxRedirects              = 2
)

// Options configure a client.
type Options struct {
	// Nodes are the addresses (IP:port) of nodes that serve the API, in the order in which they are tried.
	Nodes []string
	// Timeout limits the time of a call over all attempts; 0: DefaultTimeout.
	Timeout time.Duration
	// Notify, if set, is called after each attempt that failed.
	Notify func(node string, err error)
}

// Client calls the control API. Its methods return a *RefusedError if a node refused the call, and an *UnansweredError if no
// node gave a definite answer.
type Client struct {
	nodes   []string
	timeout time.Duration
	notify  func(node string, err error)
	http    *client.Client
	// pause waits after a round over all nodes, and reports whether ctx is still valid.
	pause func(ctx context.Context, d time.Duration) bool
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Nodes) == 0 {
		return nil, merry.New("no node given: want the address of at least one that serves the control API")
	}
	h, err := client.NewClient(
		client.WithDialer(checkeddial.New()),
		client.WithDialTimeout(attemptTimeout),
		client.WithKeepAlive(false),
	)
	if err != nil {
		return nil, merry.Prepend(err, "create HTTP client")
	}
	c := &Client{nodes: o.Nodes, timeout: o.Timeout, notify: o.Notify, http: h, pause: pause.For}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	if c.notify == nil {
		c.notify = func(string, error) {}
	}
	return c, nil
}

// call is one call of the API. It is sent unchanged until it has a definite answer.
type call struct {
	method string
	path   string
	// ifMatch is the value of the If-Match header, empty for none.
	ifMatch string
	body    []byte
}

// reply is a definite answer, see isDefinite.
type reply struct {
	status int
	body   []byte
}

// do sends a call to one node after the other until one gives a definite answer. It waits after each round over all nodes, with
// exponential backoff.
func (c *Client) do(ctx context.Context, call call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	backoff := initialBackoff
	for attempt := 0; ; attempt++ {
		node := c.nodes[attempt%len(c.nodes)]
		answer, err := c.attempt(ctx, node, call)
		if err == nil {
			return answer, nil
		}
		c.notify(node, err)
		isRoundComplete := (attempt+1)%len(c.nodes) == 0
		if isRoundComplete {
			if !c.pause(ctx, backoff) {
				return reply{}, newUnansweredError(call, err)
			}
			backoff = min(2*backoff, maxBackoff)
		}
		if ctx.Err() != nil {
			return reply{}, newUnansweredError(call, err)
		}
	}
}

// attempt sends a call to a node, and follows redirects. An error means that the node gave no definite answer, so that the next
// node is to be tried.
func (c *Client) attempt(ctx context.Context, node string, call call) (reply, error) {
	target := "http://" + node + call.path
	for range maxRedirects + 1 {
		answer, location, err := c.send(ctx, target, call)
		if err != nil || location == "" {
			return answer, err
		}
		target = location
	}
	return reply{}, merry.Errorf("more than %d redirects", maxRedirects)
}

// send sends a call once. If the node redirects the call, location is the URL that it has to be sent to instead.
func (c *Client) send(ctx context.Context, target string, call call) (answer reply, location string, err error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(call.method)
	request.SetRequestURI(target)
	setHeadersAndBody(request, call)
	if err := c.http.DoTimeout(ctx, request, response, callTimeout(call)); err != nil {
		return reply{}, "", err
	}
	status := response.StatusCode()
	switch {
	case status == http.StatusTemporaryRedirect:
		location, err := resolveRedirect(target, string(response.Header.Peek("Location")))
		return reply{}, location, err
	case !isDefinite(status):
		return reply{}, "", merry.Errorf("status %d: %s", status, reasonOf(response.Body()))
	}
	return reply{status: status, body: append([]byte(nil), response.Body()...)}, "", nil
}

func setHeadersAndBody(request *protocol.Request, call call) {
	if call.ifMatch != "" {
		request.Header.Set("If-Match", call.ifMatch)
	}
	if call.body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBody(call.body)
	}
}

// callTimeout returns the timeout of one attempt, which grows with the size of the body.
func callTimeout(call call) time.Duration {
	const megabyte = 1 << 20
	return attemptTimeout + attemptTimeoutPerMegabyte*time.Duration(len(call.body))/megabyte
}

// resolveRedirect resolves the Location header of a redirect against the URL that the call was sent to.
func resolveRedirect(target, location string) (string, error) {
	if location == "" {
		return "", merry.New("redirect without a Location header")
	}
	base, err := url.Parse(target)
	if err != nil {
		return "", err
	}
	resolved, err := base.Parse(location)
	if err != nil {
		return "", err
	}
	return resolved.String(), nil
}

// isDefinite reports whether a status is definite: another node would give the same answer, so that no other one is tried.
func isDefinite(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status < http.StatusInternalServerError && (status < 300 || status >= 400)
}

// SplitNodes splits a list of addresses that are separated by commas or spaces.
func SplitNodes(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
