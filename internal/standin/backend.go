// Package standin provides stand-ins for the systems that the serving tier talks to: the backends of a service, and the
// platform's list of backends. They implement their side of the protocol, for trials of the tier on one machine and for
// tests.
//
// The package is built on net/http instead of the HTTP library of the tier, so that the tier is not tested against
// itself.
package standin

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"nickelline/internal/pause"
)

// Headers of the protocol.
const (
	headerAttemptID         = "Nickelline-Attempt-Id"
	headerResponseSeal      = "Nickelline-Response-Seal"
	headerExpectedInstance  = "Nickelline-Expected-Instance"
	headerInstanceID        = "Nickelline-Instance-Id"
	headerNotExecuted       = "Nickelline-Not-Executed"
	headerServerLoad        = "Nickelline-Server-Load"
	headerDeadlineRemaining = "Nickelline-Deadline-Remaining-Ms"
	headerTokenUsage        = "Nickelline-Token-Usage"
	headerLastEventID       = "Last-Event-Id"
)

const (
	reportPath         = "/-/report"
	slotsPerQueuePlace = 8        // slots for each place in the queue, which has at least one place
	maxBodyBytes       = 16 << 20 // longer request bodies are truncated
	pipelineStage      = "both"
	modelName          = "m"
	modelVersion       = 1
)

// Options configures a backend.
type Options struct {
	Identifier string
	Service    string
	Zone       string
	Address    netip.AddrPort
	Slots      int           // number of requests that may run at the same time
	HealthPath string        // path of the health check, which fails while the backend drains
	WorkTime   time.Duration // duration of a request, or time to the first token of a stream
	TokenTime  time.Duration // between the tokens of a stream
}

// Backend is an HTTP handler that acts as a backend of a service. It responds to a request with a token usage header
// with a stream of events, one for each token, and to any other request with a short text.
type Backend struct {
	options  Options
	slots    chan struct{}
	waiting  atomic.Int64
	draining atomic.Bool
}

// NewBackend returns a backend that is ready.
func NewBackend(o Options) *Backend {
	return &Backend{options: o, slots: make(chan struct{}, o.Slots)}
}

// Drain makes the backend fail health checks and ask its clients to close their connections.
func (b *Backend) Drain() { b.draining.Store(true) }

// ServeHTTP responds to requests for the report, to health checks and, on all other paths, to requests for the service.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(headerAttemptID); attempt != "" {
		w.Header().Set(headerAttemptID, attempt)
	}
	w.Header().Set(headerServerLoad, b.load())
	if b.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case reportPath:
		b.serveReport(w)
	case b.options.HealthPath:
		b.serveHealth(w, r)
	default:
		b.serveRequest(w, r)
	}
}

// load returns the value of the load header: running requests, waiting requests and slots.
func (b *Backend) load() string {
	return fmt.Sprintf("%d,%d,%d", len(b.slots), b.waiting.Load(), b.options.Slots)
}

func (b *Backend) serveReport(w http.ResponseWriter) {
	type model struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
	state := struct {
		PipelineStage string  `json:"pipelineStage"`
		Models        []model `json:"models"`
		Utilisation   bool    `json:"utilisation"`
		CallSequence  int     `json:"callSequence"`
		Queued        int64   `json:"queued"`
		Active        int     `json:"active"`
		CacheUsed     int64   `json:"cacheUsed"`
		CacheCapacity int64   `json:"cacheCapacity"`
		OpenHandles   int     `json:"openHandles"`
	}{
		PipelineStage: pipelineStage,
		Models:        []model{{Name: modelName, Version: modelVersion, Adapters: []string{}}},
		Queued:        b.waiting.Load(),
		Active:        len(b.slots),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state) // an error means that the client has disconnected
}

// serveHealth responds to a health check, which takes a slot as a request does.
func (b *Backend) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !b.acquireSlot(r.Context()) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	w.Header().Set(headerInstanceID, b.options.Identifier)
	if b.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveRequest executes a request, or responds that it has not been executed.
func (b *Backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerAttemptID) == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(headerExpectedInstance); expected != "" && expected != b.options.Identifier {
		w.Header().Set(headerInstanceID, b.options.Identifier)
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the client has disconnected
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	defer cancel()
	if !b.acquireSlot(ctx) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	b.run(ctx, w, r, body)
}

// withDeadline returns the context of a request, bounded by the remaining time in the deadline header, if it is set.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(headerDeadlineRemaining)
	if text == "" {
		return r.Context(), func() {}, nil
	}
	left, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	return ctx, cancel, nil
}

// acquireSlot takes a slot, or waits for one if the queue has room. It reports whether it took one.
func (b *Backend) acquireSlot(ctx context.Context) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	defer b.waiting.Add(-1)
	if b.waiting.Add(1) > int64(max(1, b.options.Slots/slotsPerQueuePlace)) {
		return false
	}
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) releaseSlot() { <-b.slots }

// run executes a request that has a slot.
func (b *Backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	attempt := r.Header.Get(headerAttemptID)
	w.Header().Set(headerResponseSeal, b.seal(attempt))
	if !pause.For(ctx, b.options.WorkTime) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if usage := r.Header.Get(headerTokenUsage); usage != "" {
		b.stream(ctx, w, r, usage)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprint(w, ResponseText(r.Method, r.URL.RequestURI(), body))
}

// seal returns the value of the response seal header, which identifies this backend's response to an attempt.
func (b *Backend) seal(attempt string) string {
	sum := sha256.Sum256([]byte(b.options.Identifier + " " + attempt))
	return fmt.Sprintf("%x.%x", sum[:2], sum[2:6])
}

// ResponseText returns the body of the response to a request without a token usage header.
func ResponseText(method, target string, body []byte) string {
	return fmt.Sprintf("%s %s, %d bytes with the sum %x\n", method, target, len(body), sha256.Sum256(body))
}

// StreamText returns the data of all events in the stream for an attempt, separated by line feeds.
func StreamText(attempt string, tokens int) string {
	var lines []string
	for id := 1; id <= tokens; id++ {
		lines = append(lines, tokenText(attempt, id))
	}
	return strings.Join(lines, "\n")
}

// tokenText returns the data of one event. It is the same at each backend, so that a stream can be resumed at another
// one.
func tokenText(attempt string, id int) string { return fmt.Sprintf("token %d of %s", id, attempt) }

// stream responds with an event for each requested token, beginning after the last event that the client has received.
func (b *Backend) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, usage string) {
	_, asked, _ := strings.Cut(usage, ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(asked))
	last := 0
	if text := r.Header.Get(headerLastEventID); text != "" && err == nil {
		last, err = strconv.Atoi(text)
	}
	if err != nil || tokens < 1 || last < 0 {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for id := last + 1; id <= tokens; id++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, tokenText(r.Header.Get(headerAttemptID), id))
		if out.Flush() != nil {
			return
		}
		if id < tokens && !pause.For(ctx, b.options.TokenTime) {
			panic(http.ErrAbortHandler) // close the connection, so that the response does not look complete
		}
	}
}

// refuse responds that a request has not been executed and will not be.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}
