package forward

import (
	"cmp"
	"context"
	"time"

	"nickelline/internal/discovery"
	"nickelline/internal/upstream"
)

const (
	// defaultConnectTimeout bounds a dial, so that there is time left for another backend.
	defaultConnectTimeout = 200 * time.Millisecond
	// minIdle is how long a connection is not used after an answer: surplus bytes of the backend have come by then.
	minIdle = 20 * time.Millisecond
	// maxIdle is how long a connection is kept without a request, unless the backend states less.
	maxIdle = 30 * time.Second
	// sweepInterval is the time between two inspections of the idle connections. Each connection costs a system call, and is
	// inspected anyway before it takes a request.
	sweepInterval = 5 * time.Second
	// maxHeadBytes bounds the head of an answer, with the interim answers before it.
	maxHeadBytes = 64 << 10
	// deadlineReserve is kept from the time left that a backend is sent: its own answer at the deadline arrives by then.
	deadlineReserve = 10 * time.Millisecond
)

// Options set up a Client.
type Options struct {
	// Connections is the greatest number of connections to backends at one time.
	Connections int
	// ConnectTimeout bounds the dialing of a connection; defaultConnectTimeout if it is 0. A shorter one leaves more time for
	// another backend, a longer one bears slower machines and networks.
	ConnectTimeout time.Duration
}

// Client sends requests to backends over a pool of connections. It is safe for concurrent use.
type Client struct {
	pool           *upstream.Pool[string]
	connectTimeout time.Duration
}

// NewClient returns a client. Run has to be called for it to close idle connections.
func NewClient(o Options) *Client { return newClient(o, minIdle) }

// newClient returns a client whose connections are used again after an idle time.
func newClient(o Options, idle time.Duration) *Client {
	pool := upstream.New[string](upstream.Options{
		MaxConnections: o.Connections,
		MaxIdle:        maxIdle,
		MinIdle:        idle,
		SweepInterval:  sweepInterval,
		Dial:           dial,
	})
	return &Client{pool: pool, connectTimeout: cmp.Or(o.ConnectTimeout, defaultConnectTimeout)}
}

// Run closes idle connections as they grow old until ctx ends, and then closes them all.
func (c *Client) Run(ctx context.Context) { c.pool.Run(ctx) }

// SetBackends replaces the list of backends. Nothing is sent any more to one that drains or is gone.
func (c *Client) SetBackends(list *discovery.List) {
	entries := make([]upstream.Entry[string], 0, list.Len())
	for _, b := range list.All() {
		entries = append(entries, upstream.Entry[string]{Key: b.ID, Address: b.Address.String(), Ready: !b.Draining})
	}
	c.pool.Update(true, entries)
}

// Do sends a request to a backend, and returns once the head of its answer has been read. If the context ends before the
// response is closed, the attempt is cancelled and the connection closed.
func (c *Client) Do(ctx context.Context, b discovery.Backend, r *Request) (*Response, *Failure) {
	backend := c.pool.Find(b.ID)
	if backend == nil {
		return nil, &Failure{Backend: b.ID, Outcome: NotSent, Err: errNotListed}
	}
	conn, err := c.acquire(ctx, backend, r.Deadline)
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

// acquire takes an idle connection that the backend still keeps open, or dials one.
func (c *Client) acquire(ctx context.Context, backend *upstream.Backend, deadline time.Time) (*upstream.Conn, error) {
	dialDeadline := time.Now().Add(c.connectTimeout)
	if dialDeadline.After(deadline) {
		dialDeadline = deadline
	}
	for {
		conn, err := c.pool.Acquire(ctx, backend, dialDeadline)
		if err != nil {
			return nil, err
		}
		if !expired(conn, time.Now()) {
			return conn, nil
		}
		c.pool.Release(conn, false)
	}
}
