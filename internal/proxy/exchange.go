package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/configuration"
	"nickelline/internal/forward"
)

// errClientDisconnected ends an exchange whose client has disconnected and therefore reads no response.
var errClientDisconnected = errors.New("client disconnected")

// exchange is a client's request, its attempts at backends, and its one response.
type exchange struct {
	proxy     *Proxy
	route     *configuration.Route
	service   string
	tenant    *configuration.Tenant // nil if the route needs no API key
	key       string                // the API key
	admission admission.Request
	request   forward.Request

	tried        []string // ids of the backends that the request was sent to
	executed     int      // attempts that were or may have been executed
	refusals     int      // attempts that backends refused without executing them
	unreachable  int      // attempts that did not reach the intended backend
	lastTimedOut bool     // whether the last attempt timed out
	// resumedAfter is the id of the event after which the current attempt resumes the stream; empty: it starts from the
	// beginning.
	resumedAfter string
	// lastErrorResponse is the last error response of a backend. The client gets it if no further attempt succeeds.
	lastErrorResponse *backendResponse
}

// backendResponse is a complete response of a backend.
type backendResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt is an attempt at a backend that has sent the head of its response.
type attempt struct {
	ticket   Ticket
	response *forward.Response
	started  bool // whether a part of the response has been delivered to the client
}

// end reports the outcome of the attempt to admission.
func (a *attempt) end(outcome admission.Outcome) { a.ticket.Done(time.Now(), outcome, nil) }

// run sends the request to backends until a response has been delivered or no further attempt is allowed.
func (e *exchange) run(ctx context.Context, w *responseWriter) {
	for {
		a, err := e.tryBackends(ctx)
		if err != nil {
			e.finish(ctx, w, err)
			return
		}
		if e.deliver(ctx, a, w) {
			return
		}
	}
}

// tryBackends sends the request to backends until one responds, or no further attempt is allowed.
func (e *exchange) tryBackends(ctx context.Context) (*attempt, error) {
	for {
		if err := e.checkRetry(ctx); err != nil {
			return nil, err
		}
		backend, ticket, refusal := e.selectBackend(ctx)
		if refusal != nil {
			return nil, e.refusalError(refusal)
		}
		e.proxy.counters.recordAttempt(len(e.tried))
		e.tried = append(e.tried, backend.ID)
		response, failure := e.proxy.options.Sender.Do(ctx, backend, &e.request)
		if failure == nil {
			if response.Load != nil {
				ticket.Report(time.Now(), *response.Load)
			}
			return &attempt{ticket: ticket, response: response}, nil
		}
		ticket.Done(time.Now(), outcomeOf(failure), failure.Load)
		e.recordFailure(failure)
	}
}

// finish ends an exchange without a further attempt. The client gets the last error response of a backend, or else err.
func (e *exchange) finish(ctx context.Context, w *responseWriter, err error) {
	switch {
	case w.started, ctx.Err() != nil, errors.Is(err, errClientDisconnected):
		// A response that has begun cannot report an error, and a client that has disconnected cannot read one. The
		// connection of an unfinished response is closed.
	case e.lastErrorResponse != nil:
		w.write(e.lastErrorResponse.status, e.lastErrorResponse.header, e.lastErrorResponse.body)
	default:
		w.writeError(err)
	}
}

// deliver forwards the response of a backend to the client. It reports whether the exchange is finished; if not, another
// attempt may follow.
func (e *exchange) deliver(ctx context.Context, a *attempt, w *responseWriter) bool {
	if a.response.Streaming && a.response.Status == http.StatusOK {
		return e.stream(ctx, a, w)
	}
	body, err := a.response.ReadAll()
	if err != nil {
		e.recordInterruption(a, err)
		return false
	}
	e.recordExecution()
	response := &backendResponse{status: a.response.Status, header: a.response.Header, body: body}
	a.ticket.Started(time.Now())
	switch {
	case w.started, !response.isForwardable():
		// The response cannot continue a stream that has started, or is not known to come from the backend itself.
		a.end(admission.Failed)
		return false
	case response.status >= http.StatusInternalServerError:
		a.end(admission.Failed)
		e.lastErrorResponse = response
		return false
	}
	a.end(admission.OK)
	e.proxy.counters.delivered.Add(1)
	w.write(response.status, response.header, response.body)
	return true
}

// isForwardable reports whether a response may be forwarded unchanged. It must carry the backend's seal: a client takes a failure
// without one for the tier's own. The statuses 408, 421, 429 and 503 promise that the request was not executed: Sender returns a
// Failure if the backend confirmed the promise, so a response that gets here with such a status is unconfirmed.
func (b *backendResponse) isForwardable() bool {
	switch b.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return b.header.Get(forward.HeaderResponseSeal) != ""
}
