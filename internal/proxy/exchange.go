package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
	"nickelline/internal/upstream"
)

const (
	// refusalLimit is how many backends may turn one request away because they are full. They have not run it, so they
	// are not counted as attempts (what the rules bound by maxAttempts is on how many backends a request runs); but each
	// of them costs time.
	maxRefusals = 2
	// missLimit is how many backends may be found unreachable, or to be others than was expected, for one request.
	maxMisses = 3
	// leastTime has to be left for an attempt.
	minAttemptTime = 5 * time.Millisecond
	// againPart is the part of the route's target latency that has to be left for an attempt after one that ran: what could
	// not be answered in time would be a load for nothing.
	retryLatencyFraction = 0.5
)

// errClientLeft ends an exchange whose client has gone: nobody reads an answer.
var errClientLeft = errors.New("the client has left")

// exchange is a client's request on its way through backends to its one answer.
type exchange struct {
	proxy         *Proxy
	route         *configuration.Route
	service       string
	requiresProof bool
	admission     admission.Request
	request       forward.Request

	tried        []string // backends, by id
	executed     int      // attempts that ran or may have run
	refusals     int      // attempts that backends turned away
	misses       int      // attempts that did not get to the backend that was meant
	lastTimedOut bool     // of the last one
	// continuedAfter is the event behind which the attempt under way was asked to continue; empty: it began anew.
	resumedAfter string
	// kept is the last failure that a backend told itself: it is passed on if no further attempt brings more.
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
	started  bool // some of its body has been passed on
}

// done tells admission how the attempt ended.
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

// open sends the request to backends until one answers, or no further attempt is allowed.
func (e *exchange) tryBackends(ctx context.Context) (*attempt, error) {
	for {
		if err := e.checkRetry(ctx); err != nil {
			return nil, err
		}
		backend, ticket, refusal := e.pick(ctx)
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

// pick chooses a backend by the newest figures, and lets others know.
func (e *exchange) pick(ctx context.Context) (discovery.Backend, Ticket, *admission.Refusal) {
	loads := e.proxy.options.Loads
	if loads != nil {
		loads.Refresh(ctx, e.service)
	}
	backend, ticket, refusal := e.proxy.options.Pick(e.service, time.Now(), e.admission)
	if loads != nil && refusal == nil {
		loads.Announce(e.service)
	}
	return backend, ticket, refusal
}

func (e *exchange) wasTried(id string) bool { return slices.Contains(e.tried, id) }

// mayTry tells whether the request may be sent (again), and if not, what it is answered.
func (e *exchange) checkRetry(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return errClientLeft
	case e.executed >= e.maxExecutions():
		return e.exhaustedError()
	case time.Until(e.request.Deadline) < e.minTimeLeft():
		e.lastTimedOut = true
		return e.exhaustedError()
	case e.refusals >= maxRefusals, e.misses >= maxMisses:
		return e.exhaustedError()
	case !e.requiresProof:
		return nil
	}
	if err := e.proxy.checkProof(); err != nil {
		return e.errorUnlessExecuted(err)
	}
	return nil
}

// runsAllowed is how many attempts may run.
func (e *exchange) maxExecutions() int {
	if !e.route.Repeatable() {
		return 1
	}
	return max(e.route.MaxAttempts, 1)
}

// leastTime is how much time has to be left for the next attempt.
func (e *exchange) minTimeLeft() time.Duration {
	if e.executed == 0 {
		return minAttemptTime
	}
	return max(minAttemptTime, time.Duration(retryLatencyFraction*float64(e.route.TargetLatency)))
}

// note counts a failed attempt.
func (e *exchange) recordFailure(f *forward.Failure) {
	e.lastTimedOut = f.TimedOut
	switch {
	case f.Outcome == forward.NotSent, f.Status == http.StatusMisdirectedRequest:
		e.misses++
	case f.Outcome == forward.NotExecuted:
		e.refusals++
	default:
		e.executed++
	}
}

// refusal is the error of a request that admission gives no backend.
func (e *exchange) refusalError(r *admission.Refusal) error {
	return e.errorUnlessExecuted(&retryAfterError{fault.New(fault.Overloaded, "no backend of %s takes more", e.service), r.RetryAfter})
}

// failure is the error of a request for which nothing more can be tried.
func (e *exchange) exhaustedError() error {
	return e.errorUnlessExecuted(fault.New(fault.Overloaded, "no backend of %s has taken the request", e.service))
}

// failureBecause gives an error which promises that the request has not run, unless it may have: then one without a promise.
func (e *exchange) errorUnlessExecuted(unrun error) error {
	switch {
	case e.executed == 0:
		return unrun
	case e.lastTimedOut:
		return fault.New(fault.UpstreamTimeout, "no answer of %s in time", e.service)
	default:
		return fault.New(fault.UpstreamFailed, "the answer of %s broke off", e.service)
	}
}

// conclude ends a request for which no further attempt is made.
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

// pass hands the answer of a backend to the client. It tells whether that was the end.
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
		// A stream cannot go on with it, or it would promise or claim what is not so.
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

// mayBePassed tells whether an answer is what it claims to be: a success carries the backend's seal; and a status that
// promises that nothing has run came without the backend's word for it.
func (b *backendAnswer) isTrustworthy() bool {
	switch b.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	success := b.status < http.StatusMultipleChoices
	return !success || b.header.Get(forward.HeaderResponseSeal) != ""
}

// lost ends an attempt whose answer broke off.
func (e *exchange) recordBreakOff(a *attempt, err error) {
	failure := failureOf(err)
	a.end(outcomeOf(failure))
	e.recordFailure(failure)
}

func failureOf(err error) *forward.Failure {
	var failure *forward.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &forward.Failure{Outcome: forward.MayHaveRun, Err: err}
}

// outcomeOf tells admission of a failure what it has to know of the backend.
func outcomeOf(f *forward.Failure) admission.Outcome {
	switch {
	case f.Cancelled, errors.Is(f.Err, upstream.ErrTooManyConnections), errors.Is(f.Err, upstream.ErrClosed):
		return admission.Cancelled
	case f.Outcome == forward.NotExecuted && f.Status != http.StatusMisdirectedRequest:
		return admission.Full
	case f.TimedOut:
		return admission.TimedOut
	}
	return admission.Failed
}
