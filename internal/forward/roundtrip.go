package forward

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"nickelline/internal/upstream"
)

// pastDeadline is a deadline that has passed: reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// roundTrip is one request and its answer on one connection.
type roundTrip struct {
	client    *Client
	backendID string
	backend   *upstream.Backend
	conn      *upstream.Conn
	ctx       context.Context
	startedAt time.Time
	history   upstream.ConnHistory
	// deadline is when the answer must be complete.
	deadline time.Time
	// stopWatch stops watching the context. It reports whether the context had not ended.
	stopWatch func() bool
}

// send writes the request, unless it must no longer be sent after the time that the connection took.
func (rt *roundTrip) send(r *Request) *Failure {
	now := time.Now()
	switch {
	case rt.ctx.Err() != nil:
		return rt.releaseUnsent(rt.ctx.Err(), true)
	case rt.client.pool.Closed(rt.backend):
		return rt.releaseUnsent(upstream.ErrClosed, false)
	case !now.Before(r.Deadline):
		return rt.releaseUnsent(errDeadline, true)
	}
	buffer := getBuffer()
	defer putBuffer(buffer)
	if err := appendRequest(buffer, rt.backendID, r, now); err != nil {
		return rt.releaseUnsent(err, true)
	}
	rt.history = rt.conn.Use(now)
	rt.conn.SetDeadline(r.Deadline)
	rt.stopWatch = context.AfterFunc(rt.ctx, func() { rt.conn.SetDeadline(pastDeadline) })
	if _, err := rt.conn.Write(buffer.Bytes()); err != nil {
		rt.release(false)
		return rt.failure(NotSent, err) // the last byte was not written
	}
	return nil
}

// releaseUnsent releases the connection before anything was written to it.
func (rt *roundTrip) releaseUnsent(err error, keep bool) *Failure {
	rt.client.pool.Release(rt.conn, keep)
	return rt.failure(NotSent, err)
}

func (rt *roundTrip) failure(outcome Outcome, err error) *Failure {
	return &Failure{Backend: rt.backendID, Outcome: outcome, Err: err, Cancelled: rt.ctx.Err() != nil}
}

// receive reads the head of the answer.
func (rt *roundTrip) receive(r *Request) (*Response, *Failure) {
	rt.conn.SetReadLimit(maxHeadBytes)
	head, err := readHead(rt.conn.Reader, r.Method) //nolint:bodyclose // the body reads and releases the connection
	if rt.history.Requests > 0 && rt.ctx.Err() == nil {
		rt.client.pool.RecordReuse(rt.history.Idle, err != nil && rt.conn.ReadLimit() == maxHeadBytes)
	}
	if err != nil {
		return nil, rt.breakOff(err)
	}
	rt.client.pool.RecordAnswer(rt.backend, time.Now())
	id := head.Header.Get(HeaderAttemptID)
	notExecuted := reportsNotExecuted(head)
	// An answer without an id is taken as the answer to the request only if it says that nothing ran, and its connection is
	// not used again: a second answer to an earlier request would carry the id of that one.
	if id != r.AttemptID && !(id == "" && notExecuted) {
		return nil, rt.breakOff(errOtherAnswer)
	}
	response := rt.response(head)
	response.body.reusable = response.body.reusable && id != ""
	if notExecuted {
		return nil, response.notExecutedFailure()
	}
	return response, nil
}

// reportsNotExecuted reports whether an answer says that the request was not run.
func reportsNotExecuted(head *http.Response) bool {
	return head.StatusCode == http.StatusMisdirectedRequest || head.Header.Get(HeaderNotExecuted) != ""
}

// response returns the response of the head of an answer.
func (rt *roundTrip) response(head *http.Response) *Response {
	recordKeepAlive(rt.conn, head.Header)
	return &Response{
		Status:    head.StatusCode,
		Load:      parseServerLoad(head.Header.Get(HeaderServerLoad)),
		Streaming: isStream(head.Header),
		body:      newBody(rt, head),
		Header:    endToEnd(head.Header),
	}
}

// notExecutedFailure returns the failure of an answer that says that the request was not run.
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

// breakOff closes the connection of a request that was sent, and returns why as a failure.
func (rt *roundTrip) breakOff(err error) *Failure {
	f := rt.failure(MayHaveRun, err)
	f.TimedOut = !f.Cancelled && !time.Now().Before(rt.deadline)
	rt.release(false)
	if f.TimedOut {
		rt.client.pool.CloseUnresponsive(rt.backend, rt.startedAt)
	}
	return f
}

// release gives the connection back, to be kept only if the end of the context has not changed its deadline.
func (rt *roundTrip) release(keep bool) {
	untouched := rt.stopWatch()
	keep = keep && untouched && rt.conn.Reader.Buffered() == 0
	rt.client.pool.Release(rt.conn, keep)
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
			return nil, errOtherProtocol
		}
	}
}
