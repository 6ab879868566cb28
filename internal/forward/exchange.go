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

// exchange is one request and its answer on one connection.
type exchange struct {
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
func (x *exchange) send(r *Request) *Failure {
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
	if err := appendRequest(buffer, x.backendID, r, now); err != nil {
		return x.releaseUnsent(err, true)
	}
	x.history = x.conn.Use(now)
	x.conn.SetDeadline(r.Deadline)
	x.stopWatch = context.AfterFunc(x.ctx, func() { x.conn.SetDeadline(pastDeadline) })
	if _, err := x.conn.Write(buffer.Bytes()); err != nil {
		x.release(false)
		return x.failure(NotSent, err) // the last byte was not written
	}
	return nil
}

// releaseUnsent releases the connection before anything was written to it.
func (x *exchange) releaseUnsent(err error, keep bool) *Failure {
	x.client.pool.Release(x.conn, keep)
	return x.failure(NotSent, err)
}

func (x *exchange) failure(outcome Outcome, err error) *Failure {
	return &Failure{Backend: x.backendID, Outcome: outcome, Err: err, Cancelled: x.ctx.Err() != nil}
}

// receive reads the head of the answer.
func (x *exchange) receive(r *Request) (*Response, *Failure) {
	x.conn.SetReadLimit(maxHeadBytes)
	head, err := readHead(x.conn.Reader, r.Method)
	if x.history.Requests > 0 && x.ctx.Err() == nil {
		x.client.pool.RecordReuse(x.history.Idle, err != nil && x.conn.ReadLimit() == maxHeadBytes)
	}
	if err != nil {
		return nil, x.breakOff(err)
	}
	x.client.pool.RecordAnswer(x.backend, time.Now())
	id := head.Header.Get(HeaderAttemptID)
	notExecuted := reportsNotExecuted(head)
	// An answer without an id is taken as the answer to the request only if it says that nothing ran, and its connection is
	// not used again: a second answer to an earlier request would carry the id of that one.
	if id != r.AttemptID && !(id == "" && notExecuted) {
		return nil, x.breakOff(errOtherAnswer)
	}
	response := x.response(head)
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

// notExecutedFailure returns the failure of an answer that says that the request was not run.
func (r *Response) notExecutedFailure() *Failure {
	r.body.drain()
	return &Failure{
		Backend: r.body.exchange.backendID,
		Outcome: NotExecuted,
		Err:     errNotExecuted,
		Status:  r.Status,
		Load:    r.Load,
	}
}

// breakOff closes the connection of a request that was sent, and returns why as a failure.
func (x *exchange) breakOff(err error) *Failure {
	f := x.failure(MayHaveRun, err)
	f.TimedOut = !f.Cancelled && !time.Now().Before(x.deadline)
	x.release(false)
	if f.TimedOut {
		x.client.pool.CloseUnresponsive(x.backend, x.startedAt)
	}
	return f
}

// release gives the connection back, to be kept only if the end of the context has not changed its deadline.
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
			return nil, errOtherProtocol
		}
	}
}
