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
	maxBody         = 64 << 10 // bytes of a request's body
	maxAnswerHeader = 64 << 10 // of an answer's header, with what interim answers come before it
	maxAnswerBody   = 1 << 20  // of an answer's body
	largeBodyShare  = 1.0 / 8  // of the memory: bodies over bodyLimit that are being read at once
	idleShare       = 0.75     // of the time after which a backend closes an idle connection: well before, it is retired
	probeTimeout    = 500 * time.Millisecond
	minRest         = 20 * time.Millisecond // what comes right behind an answer has come by then: in 28 cases 0.8 to 4.6 ms after
	maxLoadFigure   = 1e6                   // more than any figure of a load report can be
)

// backends makes requests to all backends, over the pool's connections.
type transport struct {
	*upstream.Pool[decide.BackendID]
	large      atomic.Int64
	largeLimit int64
	log        *slog.Logger
	stats      *stats
}

func newTransport(c *Config, limit int, log *slog.Logger) *transport {
	count := &stats{}
	pool := upstream.New[decide.BackendID](upstream.Options{
		Limit:       limit,
		IdleLimit:   time.Duration(float64(c.Settings.ConnIdle) * idleShare),
		Rest:        minRest,
		DialTimeout: c.Settings.ConnectTimeout,
		Counters:    &count.Counters,
	})
	return &transport{Pool: pool, log: log, stats: count, largeLimit: int64(largeBodyShare * float64(c.Limits.MemoryMB<<20))}
}

// update follows the list.
func (b *transport) update(l list) {
	entries := make([]upstream.Entry[decide.BackendID], 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, upstream.Entry[decide.BackendID]{Key: e.ID, Address: e.addr, Started: e.StartedAt, Ready: e.State == decide.Ready})
	}
	b.Update(l.full, entries)
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

var errClientGone = errors.New("the client has left, or has its answer")

// unwanted tells whether nobody waits for the answer.
func (x *exchange) clientGone() bool { return x.client != nil && x.client.Err() != nil }

// result is how an exchange ended.
type result struct {
	code         decide.OutcomeCode
	report       *decide.Report
	header       http.Header
	body         []byte
	clientStatus int // the status of an answer that puts the fault with the client
	err          error
	connFacts    upstream.ConnHistory
	opened       bool // the request was the first to be written on its connection
}

// do makes an exchange and blocks until it is over. An end of ctx calls it off.
func (b *transport) do(ctx context.Context, h *upstream.Backend, x *exchange) result {
	if h == nil {
		return result{code: decide.ConnectFailed, err: upstream.ErrClosed}
	}
	began := time.Now()
	wanted, quit := context.WithCancel(ctx)
	defer quit()
	if x.client != nil {
		defer context.AfterFunc(x.client, quit)()
	}
	c, err := b.Acquire(wanted, h, x.deadline)
	if err != nil {
		switch {
		case x.clientGone():
			return result{code: decide.NotSent, err: errClientGone}
		case ctx.Err() != nil:
			return result{code: decide.Cancelled, err: ctx.Err()}
		case errors.Is(err, upstream.ErrTooMany): // not the backend's fault
			return result{code: decide.NotSent, err: err}
		}
		return result{code: decide.ConnectFailed, err: err}
	}
	// Connecting takes time: what made this attempt right may no longer hold, and until the last byte is
	// written it has not run.
	now := time.Now()
	switch {
	case x.clientGone():
		b.Release(c, true)
		return result{code: decide.NotSent, err: errClientGone}
	case ctx.Err() != nil:
		b.Release(c, true)
		return result{code: decide.Cancelled, err: ctx.Err()}
	case b.Closed(h):
		b.Release(c, false)
		return result{code: decide.ConnectFailed, err: upstream.ErrClosed}
	case !x.writeBefore.IsZero() && !now.Before(x.writeBefore):
		b.Release(c, true)
		return result{code: decide.NotSent, err: errors.New("the keyed window is over")}
	case !now.Before(x.deadline):
		b.Release(c, true)
		return result{code: decide.ConnectFailed, err: os.ErrDeadlineExceeded}
	}
	facts := c.Use(now)
	c.SetDeadline(x.deadline)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	r, keep := b.roundTrip(c, x)
	stopped := stop()
	r.connFacts, r.opened = facts, facts.Requests == 0
	if facts.Requests > 0 && (r.err == nil || r.code == decide.Reset && ctx.Err() == nil) {
		b.RecordReuse(facts.Idle, r.err != nil && c.ReadLimit() == maxAnswerHeader)
	}
	switch {
	case r.err == nil:
		b.RecordAnswer(h, time.Now())
	case r.code == decide.ConnectFailed:
	case ctx.Err() != nil:
		r.code = decide.Cancelled
	case errors.Is(r.err, os.ErrDeadlineExceeded):
		r.code = decide.TimedOut
	}
	b.Release(c, keep && stopped && r.err == nil)
	if r.code == decide.TimedOut {
		b.CloseUnresponsive(h, began)
	}
	return r
}

const httpStart = "HTTP/1."

var (
	errTruncated = errors.New("the answer's end can't be known")
	errTooLarge  = errors.New("the answer is too large")
)

// probe asks a backend how it is.
func (b *transport) probe(ctx context.Context, h *upstream.Backend, path string) result {
	r := b.do(ctx, h, &exchange{method: http.MethodGet, url: &url.URL{Path: path, Host: "api.internal"}, deadline: time.Now().Add(probeTimeout)})
	if r.report == nil && r.code == decide.OK {
		r.report = parseReport(string(r.body))
	}
	return r
}
