package node

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"nickelline/decide"
)

// request is a client's request as the frontend read it, with the loop's state for it.
type request struct {
	arrived  decide.RequestArrived // acceptRequest sets Patience
	deadline time.Time             // by which the client has its response
	method   string
	url      *url.URL
	header   http.Header
	body     []byte
	client   context.Context // ends when the client disconnects or has its response
	response chan response   // of capacity 1, for the final response

	// The rest belongs to the loop.
	answered    bool
	inFlight    int // number of attempts under way
	attempts    []*attempt
	dedupWindow time.Duration // for keyed requests: how long backends remember the key
}

// response is the final response to a request, from the node itself or from a backend.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// acceptRequest registers a request from the frontend and passes it to the module. It rejects an ID that is still
// open: the module would not answer the second request, and its effect could happen twice.
func (l *loop) acceptRequest(r *request) {
	if r.client.Err() != nil { // the client disconnected while this was queued
		return
	}
	if l.requests[r.arrived.ID] != nil {
		r.response <- response{status: http.StatusConflict}
		return
	}
	for _, c := range l.settings.Classes {
		if c.Name == r.arrived.Class && c.Effect == decide.Keyed {
			r.dedupWindow = c.DedupWindow
		}
	}
	l.requests[r.arrived.ID] = r
	r.arrived.Patience = time.Until(r.deadline)
	l.handle(r.arrived)
}

// abandon closes a request whose client no longer waits, unless it is answered, and notifies the module.
func (l *loop) abandon(r *request) {
	if l.requests[r.arrived.ID] == r && !r.answered {
		l.closeRequest(r)
		l.handle(decide.RequestAbandoned{ID: r.arrived.ID})
	}
}

// respond sends a request its final response, unless it already has one.
func (l *loop) respond(id decide.RequestID, resp response) {
	if r := l.requests[id]; r != nil && !r.answered {
		r.response <- resp
		l.closeRequest(r)
	}
}

// closeRequest marks a request as answered, and removes it if no attempt is under way.
func (l *loop) closeRequest(r *request) {
	r.answered = true
	if r.inFlight == 0 {
		delete(l.requests, r.arrived.ID)
	}
}
