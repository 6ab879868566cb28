package node

import (
	"context"
	"net/http"
	"time"

	"nickelline/decide"
)

const (
	// dedupWindowMargin is the safety margin at the end of the time for which backends remember a key.
	dedupWindowMargin = 100 * time.Millisecond
	// maxErrorText bounds the number of bytes of a failed attempt's error in the log.
	maxErrorText = 200
	// failureLogInterval is the minimum time between two log lines about failed attempts: a single backend may have
	// hundreds.
	failureLogInterval = 200 * time.Millisecond
	// loadPath and livePath are the paths that a probe requests: for the load of the backend, or only for its liveness.
	loadPath = "/stats"
	livePath = "/health/live"
)

// attempt is one attempt to send a request to a backend. Only the loop accesses it.
type attempt struct {
	startedAt time.Time
	cancel    context.CancelFunc
	neverRan  bool // the attempt has ended, and the backend has not run the request
}

// startAttempt starts an attempt. If it must no longer be sent, it ends at once with NotSent.
func (l *loop) startAttempt(send decide.Send) {
	r := l.requests[send.ID]
	if r == nil {
		l.handle(decide.AttemptEnded{ID: send.ID, Backend: send.Backend, RequestAnswered: true, Code: decide.NotSent})
		return
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(l.ctx)
	number := len(r.attempts)
	r.attempts = append(r.attempts, &attempt{startedAt: now, cancel: cancel})
	r.inFlight++
	if r.client.Err() != nil { // the event for the disconnect may still be queued
		l.abandon(r)
	}
	if r.answered || number >= max(1, l.settings.MaxAttempts) || !now.Before(r.deadline) {
		l.attemptEnded(send, number, result{code: decide.NotSent})
		return
	}
	x := r.newExchange(now, send.Timeout)
	backend := l.transport.Find(send.Backend)
	l.running.Go(func() {
		defer cancel()
		res := l.transport.do(ctx, backend, x)
		l.post(func() { l.attemptEnded(send, number, res) })
	})
}

// newExchange returns the exchange for the latest attempt, which starts now. With a timeout of 0, only the request's
// deadline applies.
func (r *request) newExchange(now time.Time, timeout time.Duration) *exchange {
	x := &exchange{method: r.method, url: r.url, header: r.header, body: r.body, deadline: r.deadline, client: r.client}
	if timeout != 0 && now.Add(timeout).Before(r.deadline) {
		x.deadline = now.Add(timeout)
	}
	if r.dedupWindow <= 0 {
		return x
	}
	for _, earlier := range r.attempts[:len(r.attempts)-1] {
		if !earlier.neverRan {
			x.writeBefore = earlier.startedAt.Add(r.dedupWindow - dedupWindowMargin)
			break
		}
	}
	return x
}

// cancelAttempt cancels an attempt, if it exists and the settings allow it.
func (l *loop) cancelAttempt(a decide.CancelAttempt) {
	r := l.requests[a.ID]
	if r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && l.settings.MayCancel {
		r.attempts[a.Attempt].cancel()
	}
}

// attemptEnded handles the end of an attempt: it sends the client the first response and notifies the module.
func (l *loop) attemptEnded(send decide.Send, number int, res result) {
	r := l.requests[send.ID]
	if r.client.Err() != nil { // the event for the disconnect may be queued behind this one
		l.abandon(r)
	}
	ended := r.attempts[number]
	ended.cancel()
	ended.neverRan = res.code == decide.Full || res.code == decide.ConnectFailed || res.code == decide.NotSent
	r.inFlight--
	l.transport.stats.outcomes[res.code].Add(1)
	r.applyResult(res)
	if res.code != decide.OK && res.code != decide.Cancelled {
		l.logFailure(send, ended, res)
	}
	if r.answered && r.inFlight == 0 {
		delete(l.requests, send.ID)
	}
	l.handle(decide.AttemptEnded{
		ID:              send.ID,
		Attempt:         number,
		Backend:         send.Backend,
		RequestAnswered: r.answered,
		Elapsed:         time.Since(ended.startedAt),
		Code:            res.code,
		Report:          res.report,
		NewConnection:   res.opened,
	})
}

// applyResult sends the client the response in a result, if there is one and the request is not answered yet.
func (r *request) applyResult(res result) {
	switch {
	case r.answered:
	case res.code == decide.OK:
		r.response <- response{status: http.StatusOK, header: res.header, body: res.body}
		r.answered = true
	case res.clientStatus > 0: // the request is invalid for any backend, so this one is not at fault
		r.response <- response{status: res.clientStatus}
		r.answered = true
	}
}

// logFailure logs a failed attempt, at most one per failureLogInterval.
func (l *loop) logFailure(send decide.Send, ended *attempt, res result) {
	now := time.Now()
	if now.Sub(l.failureLoggedAt) < failureLogInterval {
		return
	}
	l.failureLoggedAt = now
	l.log.Info("attempt failed",
		"id", clip(string(send.ID)), "backend", send.Backend, "code", res.code, "took", now.Sub(ended.startedAt),
		"conn_uses", res.connHistory.Requests, "conn_age", res.connHistory.Age, "conn_idle", res.connHistory.Idle,
		"err", errorText(res.err))
}

// errorText returns the text of an error for the log, or "" for nil. The text is clipped, as it may quote data from a
// backend.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return clip(err.Error())
}

// clip returns at most the first maxErrorText bytes of a text.
func clip(text string) string { return text[:min(len(text), maxErrorText)] }

// probe starts a probe of a backend. The module is notified when it ends.
func (l *loop) probe(id decide.BackendID) {
	backend := l.transport.Find(id)
	path := loadPath
	if l.settings.ReportVia == decide.ReportNone {
		path = livePath
	}
	startedAt := time.Now()
	l.running.Go(func() {
		res := l.transport.probe(l.ctx, backend, path)
		l.post(func() {
			l.handle(decide.ProbeEnded{Backend: id, Code: res.code, Elapsed: time.Since(startedAt), Report: res.report})
		})
	})
}
