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

// errClientLeft ends an exchange whose client has left: nobody reads an answer.
var errClientLeft = errors.New("the client has left")

// exchange is a client's request, its attempts at backends, and its one answer.
type exchange struct {
	proxy         *Proxy
	route         *configuration.Route
	service       string
	requiresProof bool
	admission     admission.Request
	request       forward.Request

	tried        []string // ids of backends
	executed     int      // attempts that ran or may have run
	refusals     int      // attempts that backends refused without running them
	misses       int      // attempts that did not reach the intended backend
	lastTimedOut bool     // the last attempt
	// resumedAfter is the event after which the present attempt was asked to continue; empty: it began anew.
	resumedAfter string
	// lastError is the last error answer of a backend. The client gets it if no further attempt succeeds.
	lastError *backendAnswer
}

// backendAnswer is a whole answer of a backend.
type backendAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt is an answer of a backend whose head has been read.
type attempt struct {
	ticket   Ticket
	response *forward.Response
	started  bool // some of its body has been delivered
}

// end reports to admission how the attempt ended.
func (a *attempt) end(outcome admission.Outcome) { a.ticket.Done(time.Now(), outcome, nil) }

// run answers the request.
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

// tryBackends sends the request to backends until one answers, or no further attempt is allowed.
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

// finish answers a request for which no further attempt is made.
func (e *exchange) finish(ctx context.Context, w *responseWriter, err error) {
	switch {
	case w.started, ctx.Err() != nil, errors.Is(err, errClientLeft):
		// What is unfinished ends with its connection.
	case e.lastError != nil:
		w.write(e.lastError.status, e.lastError.header, e.lastError.body)
	default:
		w.writeError(err)
	}
}

// deliver passes the answer of a backend to the client. It reports whether that was the end.
func (e *exchange) deliver(ctx context.Context, a *attempt, w *responseWriter) bool {
	if a.response.Streaming && a.response.Status == http.StatusOK {
		return e.stream(ctx, a, w)
	}
	body, err := a.response.ReadAll()
	if err != nil {
		e.recordBreakOff(a, err)
		return false
	}
	e.executed++
	answer := &backendAnswer{status: a.response.Status, header: a.response.Header, body: body}
	a.ticket.Started(time.Now())
	switch {
	case w.started, !answer.isTrustworthy():
		// It cannot continue a stream that has started, or does not come from the backend itself.
		a.end(admission.Failed)
		return false
	case answer.status >= http.StatusInternalServerError:
		a.end(admission.Failed)
		e.lastError = answer
		return false
	}
	a.end(admission.OK)
	e.proxy.counters.delivered.Add(1)
	w.write(answer.status, answer.header, answer.body)
	return true
}

// isTrustworthy reports whether an answer may be passed on as it is. A success must carry the backend's seal. A status that
// promises that nothing has run does not come here if the backend confirmed it.
func (b *backendAnswer) isTrustworthy() bool {
	switch b.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	success := b.status < http.StatusMultipleChoices
	return !success || b.header.Get(forward.HeaderResponseSeal) != ""
}
