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
	// A connection that brings no whole request within 3 s has been answered or closed by then.
	headerTimeout    = 1500 * time.Millisecond // for a request's header, all of it
	bodyTimeout      = 1200 * time.Millisecond // for its body, all of it
	writeTimeout     = 5 * time.Second         // for the client to take its answer
	lingerTimeout    = 200 * time.Millisecond  // for the rest of what has been turned away, so that it gets to read why
	idleTimeout      = 2100 * time.Millisecond // a client may count on 2 s; many ask once and keep what others then lack
	maxRequestHeader = 16 << 10
	maxPatience      = time.Hour
	// answerMargin is kept from a client's patience: an answer has to get to it and be read by then.
	answerMargin   = 10 * time.Millisecond
	busyRetryAfter = 500 * time.Millisecond // what a client is told that the node itself has no room for
)

// frontend serves clients.
type frontend struct {
	loop         *loop
	log          *slog.Logger
	stats        *stats
	classes      map[string]decide.Class
	drainEnd     atomic.Pointer[time.Time] // set once the node is to end
	closing      atomic.Bool               // it takes no more requests
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

// ready tells whether the node can serve.
func (f *frontend) ready() bool { return f.drainEnd.Load() == nil && f.loop.hasReady.Load() }

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
		f.write(w, answer{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter})
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
	defer f.openRequests.Add(-1)
	if f.openRequests.Add(1) > f.maxOpen || f.closing.Load() {
		f.write(w, answer{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter})
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
	timer := time.NewTimer(max(0, time.Until(req.deadline)) + answerGrace)
	defer timer.Stop()
	left := false
	var late string
	select {
	case a := <-req.answer:
		f.write(w, a)
		return
	case <-r.Context().Done():
		left = true
	case <-timer.C:
		late = "overdue"
	case <-f.answersDue:
		late = "the node ends"
	case <-f.loop.ctx.Done():
	}
	select { // of two that are there select takes any: an answer goes first
	case a := <-req.answer:
		f.write(w, a)
		return
	default:
	}
	switch {
	case left:
		// It has closed its connection, or its own direction only: then it is told that nothing comes.
		f.loop.post(func() { f.loop.abandon(req) })
		f.stats.clientsGone.Add(1)
		reject(w, http.StatusBadRequest, "the client has closed")
	case late != "":
		f.loop.post(func() { f.loop.abandon(req) })
		f.stats.overdue.Add(1)
		f.log.Warn(late, "id", req.arrived.ID)
		f.write(w, answer{status: http.StatusGatewayTimeout})
	default:
		f.write(w, answer{status: http.StatusBadGateway})
	}
}

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
