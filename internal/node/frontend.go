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
	// headerTimeout and bodyTimeout limit the reading of a request's header and body. Together they ensure that a
	// connection without a complete request is answered or closed within 3 s.
	headerTimeout = 1500 * time.Millisecond
	bodyTimeout   = 1200 * time.Millisecond
	// writeTimeout limits the writing of a response.
	writeTimeout = 5 * time.Second
	// lingerTimeout limits the reading of the rest of a rejected request, which is read so that its client receives the
	// response.
	lingerTimeout = 200 * time.Millisecond
	// idleTimeout is the time after which an idle client connection is closed. Clients may rely on 2 s. It is not
	// longer because many clients send one request and then keep the connection open, which leaves fewer connections
	// for others.
	idleTimeout = 2100 * time.Millisecond
	// maxRequestHeader bounds the number of bytes of a request's header.
	maxRequestHeader = 16 << 10
	// maxTimeLeft caps the time that a client states in X-Time-Left.
	maxTimeLeft = time.Hour
	// responseMargin is subtracted from the time that a client waits, as the response has to reach the client and be
	// read.
	responseMargin = 10 * time.Millisecond
	// responseGrace is the time after a request's deadline at which the node itself answers if the module has not, so
	// that no client waits forever, whatever the module does.
	responseGrace = 20 * time.Millisecond
	// busyRetryAfter is the Retry-After of a response to a request for which the node itself has no capacity.
	busyRetryAfter = 500 * time.Millisecond
)

// frontend is the HTTP handler for clients.
type frontend struct {
	loop         *loop
	log          *slog.Logger
	stats        *stats
	classes      map[string]decide.Class
	drainEnd     atomic.Pointer[time.Time] // set when the node starts to drain: the deadline of all requests
	closing      atomic.Bool               // the node accepts no more requests
	responsesDue chan struct{}             // closed when all open requests have to be answered
	openRequests atomic.Int64              // requests that the module is handling
	maxOpen      int64
	bodyBytes    atomic.Int64 // of request bodies that are being read or held
	maxBodyBytes int64
}

func newFrontend(l *loop, maxBodyBytes int64, log *slog.Logger) *frontend {
	f := &frontend{loop: l, log: log, stats: &stats{}, classes: map[string]decide.Class{}, responsesDue: make(chan struct{}), maxOpen: math.MaxInt64, maxBodyBytes: maxBodyBytes}
	if m := l.settings.MaxOpen; m > 0 {
		f.maxOpen = int64(m)
	}
	for _, c := range l.settings.Classes {
		f.classes[c.Name] = c
	}
	return f
}

// connKey is the context key of a request's *clientConn.
type connKey struct{}

func (f *frontend) server(cl *clientListener) *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRequestHeader,
		ConnState: cl.track, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
}

// ready reports whether the node is not draining and has a ready backend.
func (f *frontend) ready() bool { return f.drainEnd.Load() == nil && f.loop.hasReady.Load() }

// ServeHTTP answers health checks, rejects invalid requests, and serves the others.
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
	timeLeft, status, reason := checkHeader(r, settings)
	if reason != "" {
		f.reject(w, status, reason)
		return
	}
	defer f.bodyBytes.Add(-r.ContentLength)
	if f.bodyBytes.Add(r.ContentLength) > f.maxBodyBytes {
		w.Header().Set("Connection", "close") // its body is not read
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout))
		f.writeBusy(w)
		return
	}
	body, status, reason := readBody(w, r)
	if reason != "" {
		f.reject(w, status, reason)
		return
	}
	if c := r.Context().Value(connKey{}).(*clientConn); c.wasEvicted() {
		panic(http.ErrAbortHandler)
	}
	f.serveRequest(w, r, class, timeLeft, body)
}

// serveRequest passes a request to the module, unless the node has no capacity for it, and writes the response.
func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request, class string, timeLeft time.Duration, body []byte) {
	defer f.openRequests.Add(-1)
	if f.openRequests.Add(1) > f.maxOpen || f.closing.Load() {
		f.writeBusy(w)
		return
	}
	f.stats.requests.Add(1)
	req := newRequest(r, class, timeLeft, body)
	if end := f.drainEnd.Load(); end != nil && req.deadline.After(*end) {
		req.deadline = *end
	}
	if !f.loop.post(func() { f.loop.acceptRequest(req) }) {
		f.write(w, response{status: http.StatusServiceUnavailable})
		return
	}
	resp, end := f.await(r.Context(), req)
	if end == answered {
		f.write(w, resp)
		return
	}
	f.writeUnanswered(w, req, end)
}

// waitEnd is the reason why the wait for a response ended.
type waitEnd int

const (
	answered waitEnd = iota
	loopEnded
	clientLeft
	deadlinePassed
	drainEnded
)

// await waits for the response to a request until the client disconnects, the request is overdue, the time for draining
// is over or the loop ends.
func (f *frontend) await(client context.Context, req *request) (resp response, end waitEnd) {
	timer := time.NewTimer(max(0, time.Until(req.deadline)) + responseGrace)
	defer timer.Stop()
	select {
	case resp = <-req.response:
		return resp, answered
	case <-client.Done():
		end = clientLeft
	case <-timer.C:
		end = deadlinePassed
	case <-f.responsesDue:
		end = drainEnded
	case <-f.loop.ctx.Done():
		end = loopEnded
	}
	select { // select picks any of several ready cases, but a response takes precedence
	case resp = <-req.response:
		return resp, answered
	default:
		return response{}, end
	}
}

// writeUnanswered writes the response to a request that the module has not answered.
func (f *frontend) writeUnanswered(w http.ResponseWriter, req *request, end waitEnd) {
	switch end {
	case clientLeft:
		// The client may have closed only its sending direction; then it still reads this response.
		f.loop.post(func() { f.loop.abandon(req) })
		f.stats.clientsGone.Add(1)
		reject(w, http.StatusBadRequest, "the client has closed")
	case deadlinePassed:
		f.writeOverdue(w, req, "overdue")
	case drainEnded:
		f.writeOverdue(w, req, "draining is over")
	case answered, loopEnded:
		f.write(w, response{status: http.StatusBadGateway})
	}
}

// writeOverdue answers a request whose time is over, abandons it in the loop, and logs it.
func (f *frontend) writeOverdue(w http.ResponseWriter, req *request, why string) {
	f.loop.post(func() { f.loop.abandon(req) })
	f.stats.overdue.Add(1)
	f.log.Warn("request not answered by the module", "why", why, "id", req.arrived.ID)
	f.write(w, response{status: http.StatusGatewayTimeout})
}

// writeBusy answers a request for which the node itself has no capacity.
func (f *frontend) writeBusy(w http.ResponseWriter) {
	f.write(w, response{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter})
}

// reject counts an invalid request and answers it.
func (f *frontend) reject(w http.ResponseWriter, status int, reason string) {
	f.stats.rejected.Add(1)
	reject(w, status, reason)
}

// reject answers an invalid request and closes its connection, because the end of the request on it is not certain.
func reject(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout)) // net/http reads part of a remaining body
	http.Error(w, reason, status)
}

// write counts and sends the final response. It is called at most once for each request.
func (f *frontend) write(w http.ResponseWriter, resp response) {
	f.stats.countResponse(resp.status)
	h := w.Header()
	if resp.header != nil {
		closing := h["Connection"]
		for name, values := range endToEnd(resp.header) {
			h[name] = values
		}
		if closing != nil {
			h["Connection"] = closing
		}
	}
	if f.closing.Load() { // closing may have been set while the request was open
		h.Set("Connection", "close")
	}
	if resp.status == http.StatusConflict {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(resp.status)
	w.Write(resp.body)
}
