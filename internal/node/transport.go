package node

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"nickelline/decide"
	"nickelline/internal/upstream"
)

const (
	// maxBody bounds the bytes of a request's body.
	maxBody = 64 << 10
	// maxAnswerHeader bounds the bytes of an answer's header, with what interim answers come before it.
	maxAnswerHeader = 64 << 10
	// maxAnswerBody bounds the bytes of an answer's body.
	maxAnswerBody = 1 << 20
	// largeBodyShare is the part of the memory for answers' bodies over maxBody that are being read at once.
	largeBodyShare = 1.0 / 8
	// idleShare is the part of the time after which a backend closes an idle connection: well before, it is closed here.
	idleShare = 0.75
	// probeTimeout is the time that a probe may take.
	probeTimeout = 500 * time.Millisecond
	// minRest: what comes right behind an answer has come by then; in 28 cases it came after 0.8 to 4.6 ms.
	minRest = 20 * time.Millisecond
	// probeHost is the host that probes name.
	probeHost = "api.internal"
)

// transport makes exchanges with all backends, over the pool's connections. Its methods may be called at the same time.
type transport struct {
	*upstream.Pool[decide.BackendID]
	largeBytes    atomic.Int64 // of answers' bodies over maxBody that are being read
	maxLargeBytes int64
	log           *slog.Logger
	stats         *stats
}

func newTransport(c *Config, limit int, log *slog.Logger) *transport {
	count := &stats{}
	pool := upstream.New[decide.BackendID](upstream.Options{
		MaxConnections: limit,
		MaxIdle:        time.Duration(float64(c.Settings.ConnIdle) * idleShare),
		MinIdle:        minRest,
		DialTimeout:    c.Settings.ConnectTimeout,
		Counters:       &count.Counters,
	})
	return &transport{
		Pool:          pool,
		log:           log,
		stats:         count,
		maxLargeBytes: int64(largeBodyShare * float64(c.Limits.MemoryMB<<20)),
	}
}

// update applies a list to the pool: connections to what is no longer listed close.
func (t *transport) update(l list) {
	entries := make([]upstream.Entry[decide.BackendID], 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, upstream.Entry[decide.BackendID]{
			Key:     e.ID,
			Address: e.addr,
			Started: e.StartedAt,
			Ready:   e.State == decide.Ready,
		})
	}
	t.Update(l.full, entries)
}

// exchange is one request to a backend.
type exchange struct {
	method      string
	url         *url.URL
	header      http.Header
	body        []byte
	deadline    time.Time       // the node waits no longer
	writeBefore time.Time       // if set, nothing is written from then on
	client      context.Context // if set, nothing is written once it has ended
}

var (
	errClientGone    = errors.New("the client has left, or has its answer")
	errKeyWindowOver = errors.New("the keyed window is over")
)

// clientGone reports whether no client waits for the answer.
func (x *exchange) clientGone() bool { return x.client != nil && x.client.Err() != nil }

// result is the outcome of an exchange.
type result struct {
	code         decide.OutcomeCode
	report       *decide.Report
	header       http.Header
	body         []byte
	clientStatus int // the status of an answer that puts the fault with the client
	err          error
	connHistory  upstream.ConnHistory
	opened       bool // the request was the first to be written on its connection
}

// do makes an exchange and blocks until it has ended. The end of ctx cancels it.
func (t *transport) do(ctx context.Context, backend *upstream.Backend, x *exchange) result {
	if backend == nil {
		return result{code: decide.ConnectFailed, err: upstream.ErrClosed}
	}
	began := time.Now()
	wanted, quit := context.WithCancel(ctx)
	defer quit()
	if x.client != nil {
		defer context.AfterFunc(x.client, quit)()
	}
	conn, err := t.Acquire(wanted, backend, x.deadline)
	if err != nil {
		return x.notConnected(ctx, err)
	}
	// Connecting takes time: what made this attempt right may no longer hold, and until the last byte is written it has
	// not run.
	now := time.Now()
	if unsent, reusable := t.checkSend(ctx, backend, x, now); unsent != nil {
		t.Release(conn, reusable)
		return *unsent
	}
	res := t.exchange(ctx, backend, conn, x, now)
	if res.code == decide.TimedOut {
		t.CloseUnresponsive(backend, began)
	}
	return res
}

// notConnected returns the result of an exchange that got no connection.
func (x *exchange) notConnected(ctx context.Context, err error) result {
	switch {
	case x.clientGone():
		return result{code: decide.NotSent, err: errClientGone}
	case ctx.Err() != nil:
		return result{code: decide.Cancelled, err: ctx.Err()}
	case errors.Is(err, upstream.ErrTooManyConnections): // not the backend's fault
		return result{code: decide.NotSent, err: err}
	}
	return result{code: decide.ConnectFailed, err: err}
}

// checkSend returns the result of an exchange that must not be sent any more, or nil, and whether its connection can be
// used again.
func (t *transport) checkSend(ctx context.Context, backend *upstream.Backend, x *exchange, now time.Time) (unsent *result, reusable bool) {
	switch {
	case x.clientGone():
		return &result{code: decide.NotSent, err: errClientGone}, true
	case ctx.Err() != nil:
		return &result{code: decide.Cancelled, err: ctx.Err()}, true
	case t.Closed(backend):
		return &result{code: decide.ConnectFailed, err: upstream.ErrClosed}, false
	case !x.writeBefore.IsZero() && !now.Before(x.writeBefore):
		return &result{code: decide.NotSent, err: errKeyWindowOver}, true
	case !now.Before(x.deadline):
		return &result{code: decide.ConnectFailed, err: os.ErrDeadlineExceeded}, true
	}
	return nil, true
}

// exchange writes the request on a connection, reads the answer, and releases the connection.
func (t *transport) exchange(ctx context.Context, backend *upstream.Backend, conn *upstream.Conn, x *exchange, now time.Time) result {
	history := conn.Use(now)
	conn.SetDeadline(x.deadline)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	res, keep := t.roundTrip(conn, x)
	stopped := stop()
	res.connHistory, res.opened = history, history.Requests == 0
	if history.Requests > 0 && (res.err == nil || res.code == decide.Reset && ctx.Err() == nil) {
		t.RecordReuse(history.Idle, res.err != nil && conn.ReadLimit() == maxAnswerHeader)
	}
	switch {
	case res.err == nil:
		t.RecordAnswer(backend, time.Now())
	case res.code == decide.ConnectFailed:
	case ctx.Err() != nil:
		res.code = decide.Cancelled
	case errors.Is(res.err, os.ErrDeadlineExceeded):
		res.code = decide.TimedOut
	}
	t.Release(conn, keep && stopped && res.err == nil)
	return res
}

// probe gets a path of a backend. A load report may be in the header of the answer or be its body.
func (t *transport) probe(ctx context.Context, backend *upstream.Backend, path string) result {
	res := t.do(ctx, backend, &exchange{
		method:   http.MethodGet,
		url:      &url.URL{Path: path, Host: probeHost},
		deadline: time.Now().Add(probeTimeout),
	})
	if res.report == nil && res.code == decide.OK {
		res.report = parseReport(string(res.body))
	}
	return res
}
