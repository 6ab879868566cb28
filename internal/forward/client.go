package forward

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/discovery"
	"nickelline/internal/upstream"
)

const (
	// defaultConnectTimeout bounds a dial, so that time is left to try another backend.
	defaultConnectTimeout = 200 * time.Millisecond
	// minIdle is how long a connection stays unused after a response, so that surplus bytes from the backend arrive before the
	// next request.
	minIdle = 20 * time.Millisecond
	// maxIdle is how long a connection is kept without a request, unless the backend states a shorter time.
	maxIdle = 30 * time.Second
	// sweepInterval is the time between two inspections of all idle connections. It is long because an inspection costs one
	// system call per connection, and each connection is also inspected before it takes a request.
	sweepInterval = 5 * time.Second
	// maxHeadBytes bounds the head of a response, its status line and header, together with the interim (1xx) responses
	// before it.
	maxHeadBytes = 64 << 10
	// deadlineReserve is subtracted from the remaining time that a backend is sent, so that a response which the backend sends
	// at its deadline still arrives in time.
	deadlineReserve = 10 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// MaxConnections is the greatest number of connections to backends at one time, over all backends.
	MaxConnections int
	// ConnectTimeout bounds the dialing of a connection; 200 ms if it is 0. A shorter timeout leaves more time to try another
	// backend, a longer one tolerates slower machines and networks.
	ConnectTimeout time.Duration
	// Log receives an entry on malformed responses, at most one in 10 s for each backend; nil: nothing is logged.
	Log *zap.Logger
}

// Client sends requests to backends over a pool of connections. It is safe for concurrent use.
type Client struct {
	pool           *upstream.Pool[string]
	connectTimeout time.Duration
	malformed      *malformedResponses
}

// NewClient returns a client. It closes idle connections in the background only while Run is running.
func NewClient(o Options) *Client { return newClient(o, minIdle) }

// newClient returns a client that reuses a connection only after it has been idle for reuseAfter.
func newClient(o Options, reuseAfter time.Duration) *Client {
	pool := upstream.New[string](upstream.Options{
		MaxConnections: o.MaxConnections,
		MaxIdle:        maxIdle,
		MinIdle:        reuseAfter,
		SweepInterval:  sweepInterval,
		Dial:           dial,
	})
	return &Client{
		pool:           pool,
		connectTimeout: cmp.Or(o.ConnectTimeout, defaultConnectTimeout),
		malformed:      newMalformedResponses(o.Log),
	}
}

// Run closes connections that have been idle for too long until ctx ends, and then closes all idle connections.
func (c *Client) Run(ctx context.Context) { c.pool.Run(ctx) }

// SetBackends replaces the list of backends. No request is sent any more to a backend that is draining or not listed.
func (c *Client) SetBackends(list *discovery.List) {
	entries := make([]upstream.Entry[string], 0, list.Len())
	for _, b := range list.All() {
		entries = append(entries, upstream.Entry[string]{Key: b.ID, Address: b.Address.String(), Ready: !b.Draining})
	}
	c.pool.Update(true, entries)
	c.malformed.retain(list)
}

// MalformedResponses returns how many responses were malformed since the start, by reason: those of package responsehead.
func (c *Client) MalformedResponses() map[string]uint64 { return c.malformed.counts() }

// Do sends a request to a backend, and returns once the head of the response has been read. If the context ends before the
// response is closed, the attempt is cancelled and the connection closed.
func (c *Client) Do(ctx context.Context, b discovery.Backend, r *Request) (*Response, *Failure) {
	backend := c.pool.Find(b.ID)
	if backend == nil {
		return nil, &Failure{Backend: b.ID, Outcome: NotSent, Err: errNotListed}
	}
	conn, err := c.acquire(ctx, backend, r)
	if err != nil {
		return nil, &Failure{Backend: b.ID, Outcome: NotSent, Err: err, Cancelled: ctx.Err() != nil}
	}
	rt := &roundTrip{
		client:    c,
		backendID: b.ID,
		backend:   backend,
		conn:      conn,
		ctx:       ctx,
		startedAt: time.Now(),
		deadline:  r.Deadline,
	}
	if failure := rt.send(r); failure != nil {
		return nil, failure
	}
	return rt.receive(r)
}

// acquire takes an idle connection that the backend should still keep open and that has not carried the request's attempt id, or
// dials one within the connect timeout and the deadline.
func (c *Client) acquire(ctx context.Context, backend *upstream.Backend, r *Request) (*upstream.Conn, error) {
	dialDeadline := time.Now().Add(c.connectTimeout)
	if dialDeadline.After(r.Deadline) {
		dialDeadline = r.Deadline
	}
	isNew := func(conn *upstream.Conn) bool { return !attemptsOf(conn).contains(r.AttemptID) }
	for {
		conn, err := c.pool.AcquireAccepted(ctx, backend, dialDeadline, isNew)
		if err != nil {
			return nil, err
		}
		if !expired(conn, time.Now()) {
			return conn, nil
		}
		c.pool.Release(conn, false)
	}
}
