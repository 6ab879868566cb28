package node

import (
	"context"
	"net/http"
	"time"

	"nickelline/decide"
)

const (
	// keyWindowMargin is kept from the end of the time in which backends remember a key.
	keyWindowMargin = 100 * time.Millisecond
	// maxFaultText bounds the bytes of a failed attempt's error in the log.
	maxFaultText = 200
	// faultLogInterval is the least time between two lines about failed attempts: one backend alone may have hundreds.
	faultLogInterval = 200 * time.Millisecond
	// loadPath and livePath are what a probe asks a backend for: its load, or only whether it is alive.
	loadPath = "/stats"
	livePath = "/health/live"
)

// attempt is an attempt of a request at a backend. It belongs to the loop.
type attempt struct {
	sent     time.Time
	cancel   context.CancelFunc
	neverRan bool // and has ended
}

// startAttempt starts an attempt. One that is no longer possible ends at once, as not sent.
func (l *loop) startAttempt(send decide.Send) {
	r := l.requests[send.ID]
	if r == nil {
		l.handle(decide.AttemptEnded{ID: send.ID, Backend: send.Backend, Over: true, Code: decide.NotSent})
		return
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(l.ctx)
	number := len(r.attempts)
	r.attempts = append(r.attempts, &attempt{sent: now, cancel: cancel})
	r.inFlight++
	if r.client.Err() != nil { // the event that says so may be queued behind what led to this
		l.abandon(r)
	}
	if r.answered || number >= max(1, l.settings.MaxAttempts) || !now.Before(r.deadline) {
		l.attemptEnded(send, number, result{code: decide.NotSent})
		return
	}
	x := r.exchange(now, send.Timeout)
	backend := l.transport.Find(send.Backend)
	l.running.Go(func() {
		defer cancel()
		res := l.transport.do(ctx, backend, x)
		l.post(func() { l.attemptEnded(send, number, res) })
	})
}

// exchange returns the exchange of the latest attempt, which starts now and, unless timeout is 0, has that time.
func (r *request) exchange(now time.Time, timeout time.Duration) *exchange {
	x := &exchange{method: r.method, url: r.url, header: r.header, body: r.body, deadline: r.deadline, client: r.client}
	if timeout != 0 && now.Add(timeout).Before(r.deadline) {
		x.deadline = now.Add(timeout)
	}
	if r.keyWindow <= 0 {
		return x
	}
	for _, earlier := range r.attempts[:len(r.attempts)-1] {
		if !earlier.neverRan {
			x.writeBefore = earlier.sent.Add(r.keyWindow - keyWindowMargin)
			break
		}
	}
	return x
}

// cancelAttempt cancels an attempt, if it is there and the settings allow it.
func (l *loop) cancelAttempt(a decide.CancelAttempt) {
	r := l.requests[a.ID]
	if r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && l.settings.MayCancel {
		r.attempts[a.Attempt].cancel()
	}
}

// attemptEnded takes the end of an attempt: the first answer goes to the client, and the module is notified.
func (l *loop) attemptEnded(send decide.Send, number int, res result) {
	r := l.requests[send.ID]
	if r.client.Err() != nil { // the event that says so may be queued behind this
		l.abandon(r)
	}
	ended := r.attempts[number]
	ended.cancel()
	ended.neverRan = res.code == decide.Full || res.code == decide.ConnectFailed || res.code == decide.NotSent
	r.inFlight--
	l.transport.stats.outcomes[res.code].Add(1)
	r.takeResult(res)
	if res.code != decide.OK && res.code != decide.Cancelled {
		l.logFault(send, ended, res)
	}
	if r.answered && r.inFlight == 0 {
		delete(l.requests, send.ID)
	}
	l.handle(decide.AttemptEnded{
		ID:      send.ID,
		Attempt: number,
		Backend: send.Backend,
		Over:    r.answered,
		Elapsed: time.Since(ended.sent),
		Code:    res.code,
		Report:  res.report,
		Opened:  res.opened,
	})
}

// takeResult answers the client if the result is an answer for it, and it has none yet.
func (r *request) takeResult(res result) {
	switch {
	case r.answered:
	case res.code == decide.OK:
		r.answer <- answer{status: http.StatusOK, header: res.header, body: res.body}
		r.answered = true
	case res.clientStatus > 0: // the backend can't use the request: no other could, and it is not to blame
		r.answer <- answer{status: res.clientStatus}
		r.answered = true
	}
}

// logFault logs a failed attempt, at most one in faultLogInterval.
func (l *loop) logFault(send decide.Send, ended *attempt, res result) {
	now := time.Now()
	if now.Sub(l.faultLoggedAt) < faultLogInterval {
		return
	}
	l.faultLoggedAt = now
	l.log.Info("attempt failed",
		"id", clip(string(send.ID)), "backend", send.Backend, "code", res.code, "took", now.Sub(ended.sent),
		"conn_uses", res.connHistory.Requests, "conn_age", res.connHistory.Age, "conn_idle", res.connHistory.Idle,
		"err", faultText(res.err))
}

// faultText returns the text of an error for the log, or nothing for none. It is bounded, as the text may quote what a
// peer sent.
func faultText(err error) string {
	if err == nil {
		return ""
	}
	return clip(err.Error())
}

func clip(text string) string { return text[:min(len(text), maxFaultText)] }

// probe starts a probe of a backend, and notifies the module of its end.
func (l *loop) probe(id decide.BackendID) {
	backend := l.transport.Find(id)
	path := loadPath
	if l.settings.ReportVia == decide.ReportNone {
		path = livePath
	}
	began := time.Now()
	l.running.Go(func() {
		res := l.transport.probe(l.ctx, backend, path)
		l.post(func() {
			l.handle(decide.ProbeEnded{Backend: id, Code: res.code, Elapsed: time.Since(began), Report: res.report})
		})
	})
}
