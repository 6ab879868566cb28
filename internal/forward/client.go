package forward

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/discovery"
	"nickelline/internal/upstream"
)

const (
	// connectTimeout bounds the making of a connection, so that there is time left for another backend.
	connectTimeout = 200 * time.Millisecond
	// connectionRest is for how long a connection rests behind an answer: what a backend sends in surplus has come by then.
	minIdle = 20 * time.Millisecond
	// idleLimit is how long a connection is kept without a request, unless the backend tells less.
	idleLimit = 30 * time.Second
	// sweepEvery is how often idle connections are looked through. Each costs a system call, and each is looked at anyway
	// before it takes a request.
	sweepInterval = 5 * time.Second
	// headLimit bounds the head of an answer, with the interim answers before it.
	headLimit = 64 << 10
	// deadlineReserve is kept from the time that a backend is told: its own answer at the deadline gets here by then.
	deadlineReserve = 10 * time.Millisecond
)

// Causes of failures.
var (
	errNotListed   = errors.New("the backend is not listed as ready")
	errDeadline    = errors.New("the deadline has passed")
	errOtherAnswer = errors.New("the answer does not carry the id of the request")
	errNotExecuted = errors.New("the backend did not run the request")
	errNoEnd       = errors.New("the end of the answer cannot be known")
	errTooLarge    = errors.New("the answer is too large")
)

// Options set up a Client.
type Options struct {
	// Connections is how many connections to backends there may be at one time.
	Connections int
	Log         *zap.Logger
}

// Client sends requests to backends over a pool of connections. It is safe for concurrent use.
type Client struct {
	pool *upstream.Pool[string]
	log  *zap.Logger
}

// NewClient makes a client. Run has to be called for it to close idle connections.
func NewClient(o Options) *Client { return newClient(o, minIdle) }

func newClient(o Options, rest time.Duration) *Client {
	pool := upstream.New[string](upstream.Options{
		Limit:      o.Connections,
		IdleLimit:  idleLimit,
		Rest:       rest,
		SweepEvery: sweepInterval,
		Dial:       dial,
	})
	return &Client{pool: pool, log: o.Log}
}

// Run closes idle connections as they grow old until ctx ends, and then closes them all.
func (c *Client) Run(ctx context.Context) { c.pool.Run(ctx) }

// SetBackends tells which backends are listed. Nothing is sent any more to one that drains or is gone.
func (c *Client) SetBackends(list *discovery.List) {
	entries := make([]upstream.Entry[string], 0, list.Len())
	for _, b := range list.All() {
		entries = append(entries, upstream.Entry[string]{Key: b.ID, Address: b.Address.String(), Ready: !b.Draining})
	}
	c.pool.Update(true, entries)
}

// Do sends a request to a backend, and returns once the head of its answer has been read. An end of the context calls
// the attempt off at any time until the response is closed: the backend's connection is closed.
func (c *Client) Do(ctx context.Context, b discovery.Backend, r *Request) (*Response, *Failure) {
	host := c.pool.Find(b.ID)
	if host == nil {
		return nil, &Failure{Outcome: NotSent, Err: errNotListed}
	}
	conn, failure := c.acquire(ctx, host, r.Deadline)
	if failure != nil {
		return nil, failure
	}
	x := &exchange{client: c, backend: host, conn: conn, ctx: ctx, startedAt: time.Now(), deadline: r.Deadline}
	if failure := x.send(b, r); failure != nil {
		return nil, failure
	}
	return x.receive(r)
}

// connect takes an idle connection that the backend keeps open still, or makes one.
func (c *Client) acquire(ctx context.Context, host *upstream.Backend, deadline time.Time) (*upstream.Conn, *Failure) {
	by := time.Now().Add(connectTimeout)
	if by.After(deadline) {
		by = deadline
	}
	for {
		conn, err := c.pool.Acquire(ctx, host, by)
		if err != nil {
			return nil, &Failure{Outcome: NotSent, Err: err, Cancelled: ctx.Err() != nil}
		}
		if !expired(conn, time.Now()) {
			return conn, nil
		}
		c.pool.Release(conn, false)
	}
}

// exchange is one request and its answer on one connection.
type exchange struct {
	client    *Client
	backend   *upstream.Backend
	conn      *upstream.Conn
	ctx       context.Context
	startedAt time.Time
	history   upstream.ConnHistory
	// deadline is when the answer has to be complete.
	deadline time.Time
	// stop ends the watch over the context. It tells whether the context had not ended.
	stopWatch func() bool
}

// send writes the request unless that has become wrong while the connection was made.
func (x *exchange) send(b discovery.Backend, r *Request) *Failure {
	now := time.Now()
	switch {
	case x.ctx.Err() != nil:
		return x.releaseUnsent(x.ctx.Err(), true)
	case x.client.pool.Closed(x.backend):
		return x.releaseUnsent(upstream.ErrClosed, false)
	case !now.Before(r.Deadline):
		return x.releaseUnsent(errDeadline, true)
	}
	buffer := getBuffer()
	defer putBuffer(buffer)
	if err := appendRequest(buffer, b.ID, r, now); err != nil {
		return x.releaseUnsent(err, true)
	}
	x.history = x.conn.Use(now)
	x.conn.SetDeadline(r.Deadline)
	x.stopWatch = context.AfterFunc(x.ctx, func() { x.conn.SetDeadline(time.Unix(1, 0)) })
	if _, err := x.conn.Write(buffer.Bytes()); err != nil {
		// The last byte was not written.
		x.release(false)
		return &Failure{Outcome: NotSent, Err: err, Cancelled: x.ctx.Err() != nil}
	}
	return nil
}

// unsent gives the connection back before anything was written to it.
func (x *exchange) releaseUnsent(err error, keep bool) *Failure {
	x.client.pool.Release(x.conn, keep)
	return &Failure{Outcome: NotSent, Err: err, Cancelled: x.ctx.Err() != nil}
}

// receive reads the head of the answer.
func (x *exchange) receive(r *Request) (*Response, *Failure) {
	x.conn.SetReadLimit(headLimit)
	head, err := readHead(x.conn.Reader, r.Method)
	if x.history.Requests > 0 && x.ctx.Err() == nil {
		x.client.pool.RecordReuse(x.history.Idle, err != nil && x.conn.ReadLimit() == headLimit)
	}
	if err != nil {
		return nil, x.breakOff(err)
	}
	x.client.pool.RecordAnswer(x.backend, time.Now())
	id := head.Header.Get(HeaderAttemptID)
	unrun := reportsNotExecuted(head)
	// An answer without an id is taken for the request's own only if it says that nothing ran, and its connection is not
	// used again: a second answer to an earlier request would bear that one's id.
	if id != r.AttemptID && !(id == "" && unrun) {
		return nil, x.breakOff(errOtherAnswer)
	}
	response := x.response(head)
	response.body.reusable = response.body.reusable && id != ""
	if unrun {
		return nil, response.notExecutedFailure()
	}
	return response, nil
}

// tellsNotExecuted tells whether an answer says that the request was not run.
func reportsNotExecuted(head *http.Response) bool {
	return head.StatusCode == http.StatusMisdirectedRequest || head.Header.Get(HeaderNotExecuted) != ""
}

// response makes a response of the head of an answer.
func (x *exchange) response(head *http.Response) *Response {
	recordKeepAlive(x.conn, head.Header)
	return &Response{
		Status:    head.StatusCode,
		Load:      parseServerLoad(head.Header.Get(HeaderServerLoad)),
		Streaming: isStream(head.Header),
		body:      newBody(x, head),
		Header:    endToEnd(head.Header),
	}
}

// notExecuted makes a failure of an answer that tells that the request was not run.
func (r *Response) notExecutedFailure() *Failure {
	r.body.drain()
	return &Failure{Outcome: NotExecuted, Err: errNotExecuted, Status: r.Status, Load: r.Load}
}

// broken closes the connection of a request that was sent, and tells why.
func (x *exchange) breakOff(err error) *Failure {
	f := &Failure{Outcome: MayHaveRun, Err: err}
	f.Cancelled = x.ctx.Err() != nil
	f.TimedOut = !f.Cancelled && !time.Now().Before(x.deadline)
	x.release(false)
	if f.TimedOut {
		x.client.pool.CloseUnresponsive(x.backend, x.startedAt)
	}
	return f
}

// end gives the connection back, to be kept only if the context has not meddled with it.
func (x *exchange) release(keep bool) {
	untouched := x.stopWatch()
	keep = keep && untouched && x.conn.Reader.Buffered() == 0
	x.client.pool.Release(x.conn, keep)
}

// readHead reads the head of the final answer.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		head, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		switch {
		case head.StatusCode >= http.StatusOK:
			return head, nil
		case head.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the backend speaks another protocol")
		}
	}
}
