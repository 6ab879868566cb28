package node

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"nickelline/decide"
)

const (
	// A connection that brings no whole request within 3 s has been answered or closed by then: headerTimeout is for the
	// header of a request, bodyTimeout for its body.
	headerTimeout = 1500 * time.Millisecond
	bodyTimeout   = 1200 * time.Millisecond
	// writeTimeout is the time that a client has to take its answer.
	writeTimeout = 5 * time.Second
	// lingerTimeout is for the rest of what has been rejected, so that its client gets to read why.
	lingerTimeout = 200 * time.Millisecond
	// idleTimeout: a client may count on 2 s; many ask once and keep connections that others then lack.
	idleTimeout = 2100 * time.Millisecond
	// maxRequestHeader bounds the bytes of a request's header.
	maxRequestHeader = 16 << 10
	// maxPatience bounds the time that a client says it waits.
	maxPatience = time.Hour
	// answerMargin is kept from a client's patience: an answer has to get to it and be read by then.
	answerMargin = 10 * time.Millisecond
	// answerGrace is the time after a request's deadline at which the node answers by itself if the module has not: no
	// client may wait for ever, whatever the module does.
	answerGrace = 20 * time.Millisecond
	// busyRetryAfter is the wait that a client is asked for if the node itself has no room for its request.
	busyRetryAfter = 500 * time.Millisecond
)

// frontend serves clients.
type frontend struct {
	loop         *loop
	log          *slog.Logger
	stats        *stats
	classes      map[string]decide.Class
	drainEnd     atomic.Pointer[time.Time] // set once the node drains: by then all is answered
	closing      atomic.Bool               // the node takes no more requests
	answersDue   chan struct{}             // closed when what is still open has to be answered
	openRequests atomic.Int64              // requests that the module has
	maxOpen      int64
	bodyBytes    atomic.Int64 // bytes of bodies that are held
	maxBodyBytes int64
}

func newFrontend(l *loop, maxBodies int64, log *slog.Logger) *frontend {
	f := &frontend{loop: l, log: log, stats: &stats{}, classes: map[string]decide.Class{}, answersDue: make(chan struct{}), maxOpen: math.MaxInt64, maxBodyBytes: maxBodies}
	if m := l.settings.MaxOpen; m > 0 {
		f.maxOpen = int64(m)
	}
	for _, c := range l.settings.Classes {
		f.classes[c.Name] = c
	}
	return f
}

type connKey struct{}

func (f *frontend) server(a *admission) *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRequestHeader,
		ConnState: a.track, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
}

// ready reports whether the node can serve.
func (f *frontend) ready() bool { return f.drainEnd.Load() == nil && f.loop.hasReady.Load() }

// ServeHTTP answers health checks, rejects what is no request, and serves the rest.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if class == "health" && (rest == "ready" || rest == "live") && r.ContentLength == 0 {
		if rest == "ready" && !f.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	settings, known := f.classes[class]
	if !known {
		f.reject(w, http.StatusNotFound, "no such path")
		return
	}
	patience, status, fault := checkHeader(r, settings)
	if fault != "" {
		f.reject(w, status, fault)
		return
	}
	defer f.bodyBytes.Add(-r.ContentLength)
	if f.bodyBytes.Add(r.ContentLength) > f.maxBodyBytes {
		w.Header().Set("Connection", "close") // its body is not read
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout))
		f.writeBusy(w)
		return
	}
	body, status, fault := readBody(w, r)
	if fault != "" {
		f.reject(w, status, fault)
		return
	}
	if c := r.Context().Value(connKey{}).(*clientConn); c.wasEvicted() {
		panic(http.ErrAbortHandler)
	}
	f.serveRequest(w, r, class, patience, body)
}

// serveRequest has the module decide on a request, unless the node has no room for it, and waits for the answer.
func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request, class string, patience time.Duration, body []byte) {
	defer f.openRequests.Add(-1)
	if f.openRequests.Add(1) > f.maxOpen || f.closing.Load() {
		f.writeBusy(w)
		return
	}
	f.stats.requests.Add(1)
	req := newRequest(r, class, patience, body)
	if end := f.drainEnd.Load(); end != nil && req.deadline.After(*end) {
		req.deadline = *end
	}
	if !f.loop.post(func() { f.loop.takeRequest(req) }) {
		f.write(w, answer{status: http.StatusServiceUnavailable})
		return
	}
	a, end := f.await(r.Context(), req)
	if end == answered {
		f.write(w, a)
		return
	}
	f.writeUnanswered(w, req, end)
}

// waitEnd is why the wait for an answer has ended.
type waitEnd int

const (
	answered waitEnd = iota
	loopEnded
	clientLeft
	deadlinePassed
	nodeEnds
)

// await waits for the answer of a request, until none is to be waited for any more.
func (f *frontend) await(client context.Context, req *request) (a answer, end waitEnd) {
	timer := time.NewTimer(max(0, time.Until(req.deadline)) + answerGrace)
	defer timer.Stop()
	select {
	case a = <-req.answer:
		return a, answered
	case <-client.Done():
		end = clientLeft
	case <-timer.C:
		end = deadlinePassed
	case <-f.answersDue:
		end = nodeEnds
	case <-f.loop.ctx.Done():
		end = loopEnded
	}
	select { // of two that are ready select takes any: an answer goes first
	case a = <-req.answer:
		return a, answered
	default:
		return answer{}, end
	}
}

// writeUnanswered answers a request that the module has left open.
func (f *frontend) writeUnanswered(w http.ResponseWriter, req *request, end waitEnd) {
	switch end {
	case clientLeft:
		// It has closed its connection, or its own direction only: then its client reads that nothing comes.
		f.loop.post(func() { f.loop.abandon(req) })
		f.stats.clientsGone.Add(1)
		reject(w, http.StatusBadRequest, "the client has closed")
	case deadlinePassed:
		f.writeOverdue(w, req, "overdue")
	case nodeEnds:
		f.writeOverdue(w, req, "the node ends")
	case answered, loopEnded:
		f.write(w, answer{status: http.StatusBadGateway})
	}
}

func (f *frontend) writeOverdue(w http.ResponseWriter, req *request, why string) {
	f.loop.post(func() { f.loop.abandon(req) })
	f.stats.overdue.Add(1)
	f.log.Warn("request not answered by the module", "why", why, "id", req.arrived.ID)
	f.write(w, answer{status: http.StatusGatewayTimeout})
}

// writeBusy answers a request that the node itself has no room for.
func (f *frontend) writeBusy(w http.ResponseWriter) {
	f.write(w, answer{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter})
}

// reject counts and answers what is no request.
func (f *frontend) reject(w http.ResponseWriter, status int, fault string) {
	f.stats.rejected.Add(1)
	reject(w, status, fault)
}

// reject answers what is no request. Where one ends on its connection is in doubt, so nothing more is read there.
func reject(w http.ResponseWriter, status int, fault string) {
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout)) // net/http reads some of a body that is left
	http.Error(w, fault, status)
}

// write sends the final answer. It is the only one: each request comes here once.
func (f *frontend) write(w http.ResponseWriter, a answer) {
	f.stats.answered(a.status)
	h := w.Header()
	if a.header != nil {
		closing := h["Connection"]
		for name, values := range endToEnd(a.header) {
			h[name] = values
		}
		if closing != nil {
			h["Connection"] = closing
		}
	}
	if f.closing.Load() { // it may have begun while the request was out
		h.Set("Connection", "close")
	}
	if a.status == http.StatusConflict {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(a.status)
	w.Write(a.body)
}
