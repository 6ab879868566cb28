package forward

import (
	"context"
	"net/http"
	"time"

	"nickelline/internal/upstream"
)

// pastDeadline is a connection deadline in the past, which makes reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// roundTrip is one request and its response on one connection.
type roundTrip struct {
	client    *Client
	backendID string
	backend   *upstream.Backend
	conn      *upstream.Conn
	ctx       context.Context
	startedAt time.Time
	history   upstream.ConnHistory
	// deadline is when the response must be complete.
	deadline time.Time
	// stopAfterFunc stops watching the context. It reports whether the context had not ended.
	stopAfterFunc func() bool
	// remaining writes the rest of the request; nil if the connection accepted all of it at once.
	remaining *remainingWrite
}

// send writes the request, unless the context ended, the backend was closed or the deadline passed while the connection was
// being acquired. It returns a Failure only if the head of the request was not written completely. Once the head is written,
// the backend may run the request and respond to it, however much of the body follows: a failure to write the body shows when
// the response is read.
func (rt *roundTrip) send(r *Request) *Failure {
	now := time.Now()
	switch {
	case rt.ctx.Err() != nil:
		return rt.releaseUnsent(rt.ctx.Err(), true)
	case rt.client.pool.Closed(rt.backend):
		return rt.releaseUnsent(upstream.ErrClosed, false)
	case !now.Before(r.Deadline):
		return rt.releaseUnsent(errDeadlinePassed, true)
	}
	buffer := getBuffer()
	if err := appendRequest(buffer, rt.backendID, r, now); err != nil {
		putBuffer(buffer)
		return rt.releaseUnsent(err, true)
	}
	rt.history = rt.conn.RecordRequest(now)
	attemptsOf(rt.conn).add(r.AttemptID)
	rt.conn.SetDeadline(r.Deadline)
	rt.stopAfterFunc = context.AfterFunc(rt.ctx, func() { rt.conn.SetDeadline(pastDeadline) })
	headLength := buffer.Len() - len(r.Body)
	written, err := writeHead(rt.conn, buffer.Bytes(), headLength)
	if err == nil && written < buffer.Len() {
		rt.remaining = startRemainingWrite(rt.conn, buffer, written)
		return nil
	}
	putBuffer(buffer)
	if written < headLength {
		rt.closeConn()
		return rt.failure(NotSent, err)
	}
	return nil
}

// releaseUnsent releases the connection before anything was written to it, and returns why as a Failure.
func (rt *roundTrip) releaseUnsent(err error, keep bool) *Failure {
	rt.client.pool.Release(rt.conn, keep)
	return rt.failure(NotSent, err)
}

func (rt *roundTrip) failure(outcome Outcome, err error) *Failure {
	return &Failure{Backend: rt.backendID, Outcome: outcome, Err: err, Cancelled: rt.ctx.Err() != nil}
}

// receive reads the head of the response.
func (rt *roundTrip) receive(r *Request) (*Response, *Failure) {
	head, err := rt.conn.ReadHead(&http.Request{Method: r.Method}, maxHeadBytes) //nolint:bodyclose // the body reads and releases the connection
	if rt.history.Requests > 0 && rt.ctx.Err() == nil {
		rt.client.pool.RecordReuse(rt.history.Idle, err != nil && !rt.conn.ResponseHasBegun())
	}
	if err == nil {
		err = checkSingleFields(head.Header)
	}
	if err != nil {
		return nil, rt.abort(err)
	}
	rt.client.pool.RecordResponse(rt.backend, time.Now())
	id := head.Header.Get(HeaderAttemptID)
	notExecuted := reportsNotExecuted(head)
	// A response without an attempt id is taken as the response to this request only if it reports that the request was not
	// run. It cannot be a second response to an earlier request, which would carry the id of that request. Its connection is
	// not reused.
	if id != r.AttemptID && !(id == "" && notExecuted) {
		return nil, rt.abort(errAttemptIDMismatch)
	}
	if err := checkEncoding(head.Header); err != nil && !notExecuted {
		return nil, rt.abort(err)
	}
	response := rt.response(head)
	response.body.reusable = response.body.reusable && id != ""
	if notExecuted {
		return nil, response.notExecutedFailure()
	}
	return response, nil
}

// reportsNotExecuted reports whether a response says that the request was not run.
func reportsNotExecuted(head *http.Response) bool {
	return head.StatusCode == http.StatusMisdirectedRequest || head.Header.Get(HeaderNotExecuted) != ""
}

// response returns the Response for a response head.
func (rt *roundTrip) response(head *http.Response) *Response {
	recordKeepAlive(rt.conn, head.Header)
	return &Response{
		Status:    head.StatusCode,
		Load:      parseServerLoad(head.Header.Get(HeaderServerLoad)),
		Streaming: isStream(head.Header),
		body:      newBody(rt, head),
		Header:    endToEndFields(head.Header),
	}
}

// notExecutedFailure returns the Failure for a response that says that the request was not run.
func (r *Response) notExecutedFailure() *Failure {
	r.body.drain()
	return &Failure{
		Backend: r.body.roundTrip.backendID,
		Outcome: NotExecuted,
		Err:     errNotExecuted,
		Status:  r.Status,
		Load:    r.Load,
	}
}

// abort closes the connection of a request that was sent, and returns why as a Failure.
func (rt *roundTrip) abort(err error) *Failure {
	f := rt.failure(MayHaveRun, err)
	rt.client.malformed.record(rt.backendID, err, time.Now())
	f.TimedOut = !f.Cancelled && !time.Now().Before(rt.deadline)
	rt.closeConn()
	if f.TimedOut {
		rt.client.pool.CloseUnresponsive(rt.backend, rt.startedAt)
	}
	return f
}

// closeConn closes the connection, which ends a write of the request that is still in progress.
func (rt *roundTrip) closeConn() {
	rt.stopAfterFunc()
	rt.client.pool.Release(rt.conn, false)
}

// release gives the connection back after the whole response was read. The connection is kept only if the backend keeps it open,
// nothing unread is buffered, it may carry another request, and the context has not ended, because the end of the context changes
// the deadline of the connection. A connection on which the request is still being written is given back once that has ended, so that the backend
// gets the whole body, and no other bytes in its place.
func (rt *roundTrip) release(reusable bool) {
	active := rt.stopAfterFunc()
	keep := reusable && active && rt.conn.Reader.Buffered() == 0 && !attemptsOf(rt.conn).isFull()
	switch {
	case rt.remaining == nil:
		rt.client.pool.Release(rt.conn, keep)
	case rt.remaining.finished():
		rt.releaseAfterWrite(keep)
	default:
		go rt.releaseAfterWrite(keep)
	}
}

// releaseAfterWrite gives the connection back once the request was written. The connection is kept only if the whole request
// was written.
func (rt *roundTrip) releaseAfterWrite(keep bool) {
	err := rt.remaining.wait()
	rt.client.pool.Release(rt.conn, keep && err == nil)
}
