package node

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"nickelline/decide"
)

// request is a client's request as the front end has read it, and what the loop knows of it.
type request struct {
	arrived  decide.RequestArrived // but for Patience
	deadline time.Time             // the client has its answer by then
	method   string
	url      *url.URL
	header   http.Header
	body     []byte
	client   context.Context // ends when the client leaves or has its answer
	answer   chan answer     // holds one: the final answer

	// The rest belongs to the loop.
	answered  bool
	inFlight  int // attempts
	attempts  []*attempt
	keyWindow time.Duration // for keyed ones: how long backends remember the key
}

// answer is a request's final answer, which the node or a backend gives.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// takeRequest takes a request from the front end. An id that is still open is not taken twice: the module would not
// answer it, and its effect could happen twice.
func (l *loop) takeRequest(r *request) {
	if r.client.Err() != nil { // the client left while this was queued
		return
	}
	if l.requests[r.arrived.ID] != nil {
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	for _, c := range l.settings.Classes {
		if c.Name == r.arrived.Class && c.Effect == decide.Keyed {
			r.keyWindow = c.DedupWindow
		}
	}
	l.requests[r.arrived.ID] = r
	r.arrived.Patience = time.Until(r.deadline)
	l.handle(r.arrived)
}

// abandon closes a request whose client is gone.
func (l *loop) abandon(r *request) {
	if l.requests[r.arrived.ID] == r && !r.answered {
		l.closeRequest(r)
		l.handle(decide.RequestAbandoned{ID: r.arrived.ID})
	}
}

// answerRequest gives a request its final answer, unless it has one.
func (l *loop) answerRequest(id decide.RequestID, a answer) {
	if r := l.requests[id]; r != nil && !r.answered {
		r.answer <- a
		l.closeRequest(r)
	}
}

// closeRequest marks a request as answered and forgets it once its attempts have ended.
func (l *loop) closeRequest(r *request) {
	r.answered = true
	if r.inFlight == 0 {
		delete(l.requests, r.arrived.ID)
	}
}
