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
)

type attempt struct {
	sent     time.Time
	cancel   context.CancelFunc
	neverRan bool // and has ended
}

func (l *loop) startAttempt(a decide.Send) {
	r := l.requests[a.ID]
	if r == nil {
		l.handle(decide.AttemptEnded{ID: a.ID, Backend: a.Backend, Over: true, Code: decide.NotSent})
		return
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(l.ctx)
	t := &attempt{sent: now, cancel: cancel}
	n := len(r.attempts)
	r.attempts = append(r.attempts, t)
	r.inFlight++
	if r.client.Err() != nil { // the news of it may be queued behind what led to this
		l.abandon(r)
	}
	if r.answered || n >= max(1, l.settings.MaxAttempts) || !now.Before(r.deadline) {
		l.attemptEnded(a, n, result{code: decide.NotSent})
		return
	}
	x := &exchange{method: r.method, url: r.url, header: r.header, body: r.body, deadline: r.deadline, client: r.client}
	if a.Timeout != 0 && now.Add(a.Timeout).Before(r.deadline) {
		x.deadline = now.Add(a.Timeout)
	}
	for _, earlier := range r.attempts[:n] {
		if r.keyWindow > 0 && !earlier.neverRan {
			x.writeBefore = earlier.sent.Add(r.keyWindow - keyWindowMargin)
			break
		}
	}
	h := l.transport.Find(a.Backend)
	l.running.Go(func() {
		defer cancel()
		res := l.transport.do(ctx, h, x)
		l.post(func() { l.attemptEnded(a, n, res) })
	})
}

// ended tells the module of an attempt's end; the first answer goes to the client.
func (l *loop) attemptEnded(a decide.Send, n int, res result) {
	r := l.requests[a.ID]
	if r.client.Err() != nil { // the news of it may be queued behind this
		l.abandon(r)
	}
	t := r.attempts[n]
	t.cancel()
	t.neverRan = res.code == decide.Full || res.code == decide.ConnectFailed || res.code == decide.NotSent
	r.inFlight--
	l.transport.stats.outcomes[res.code].Add(1)
	switch {
	case r.answered:
	case res.code == decide.OK:
		r.answer <- answer{status: http.StatusOK, header: res.header, body: res.body}
		r.answered = true
	case res.clientStatus > 0: // the backend can't use the request: no other could, and it is not to blame
		r.answer <- answer{status: res.clientStatus}
		r.answered = true
	}
	if res.code != decide.OK && res.code != decide.Cancelled {
		if now := time.Now(); now.Sub(l.faultLoggedAt) >= faultLogInterval {
			l.faultLoggedAt = now
			l.log.Info("attempt", "id", clip(string(a.ID)), "server", a.Backend, "code", res.code, "took", now.Sub(t.sent), "conn_uses", res.connFacts.Requests,
				"conn_age", res.connFacts.Age, "conn_idle", res.connFacts.Idle, "err", faultText(res.err))
		}
	}
	if r.answered && r.inFlight == 0 {
		delete(l.requests, a.ID)
	}
	l.handle(decide.AttemptEnded{ID: a.ID, Attempt: n, Backend: a.Backend, Over: r.answered, Elapsed: time.Since(t.sent),
		Code: res.code, Report: res.report, Opened: res.opened})
}

// faultOf and clip bound what a fault puts into the log: it may quote what a peer sent.
func faultText(err error) string {
	if err == nil {
		return ""
	}
	return clip(err.Error())
}

func clip(text string) string { return text[:min(len(text), maxFaultText)] }

// heard takes a datagram from another node.
func (l *loop) receiveMessage(from int, data []byte) {
	l.post(func() { l.handle(decide.MessageReceived{From: from, Data: data}) })
}

func (l *loop) probe(id decide.BackendID) {
	h := l.transport.Find(id)
	path := "/stats"
	if l.settings.ReportVia == decide.ReportNone {
		path = "/health/live"
	}
	began := time.Now()
	l.running.Go(func() {
		res := l.transport.probe(l.ctx, h, path)
		l.post(func() {
			l.handle(decide.ProbeEnded{Backend: id, Code: res.code, Elapsed: time.Since(began), Report: res.report})
		})
	})
}
