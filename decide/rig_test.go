package decide_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nickelline/decide"
)

// moduleFixture feeds one module with the events of a simulated fleet whose latencies the test sets.
type moduleFixture struct {
	t            *testing.T
	m            *decide.Module
	now          time.Duration
	delay        func(b decide.BackendID) (time.Duration, decide.OutcomeCode)
	due          []fixtureEvent
	sent         map[decide.BackendID]int
	finalActions map[decide.RequestID]decide.Action
	attempts     map[decide.RequestID]int
	answered     map[decide.RequestID]bool
	retries      int           // of a refused client, each after the wait that it was asked for
	patience     time.Duration // of a first try
	work         func(decide.RequestID) time.Duration
	// outcome, if set, overrides how an attempt ends.
	outcome     func(decide.RequestID, decide.BackendID, time.Duration, decide.OutcomeCode) (time.Duration, decide.OutcomeCode)
	report      func(b decide.BackendID) *decide.Report // nil: backends report nothing
	retryAfters []time.Duration                         // that refused clients were asked to wait
	inTime      map[string]int
	arrivedAt   map[decide.RequestID]time.Duration
	refused, failed,
	subscriptions, next, backendLines, suspects, statusLines int
}

type fixtureEvent struct {
	at time.Duration
	e  decide.Event
}

func fixtureSettings() decide.Settings {
	return decide.Settings{Nodes: 1, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, MaxListAge: 10 * time.Second,
		ConnectTimeout: 100 * time.Millisecond, ColdStartShare: 0.3, WarmUpTime: 8 * time.Second, OverloadFactor: 2.5,
		OverloadTime: time.Second, MayRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []decide.Class{
			{Name: "valuable", Value: 12, Target: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Effect: decide.Safe},
			{Name: "cheap", Value: 1, Target: 1500 * time.Millisecond, Deadline: 4 * time.Second, Effect: decide.Safe},
			{Name: "unsafe", Value: 1, Target: 1500 * time.Millisecond, Deadline: 2 * time.Second, Effect: decide.Unsafe}}}
}

func newModuleFixture(t *testing.T, s decide.Settings, backends int) *moduleFixture {
	r := &moduleFixture{t: t, m: decide.New(s, 5), now: time.Hour, sent: map[decide.BackendID]int{}, answered: map[decide.RequestID]bool{},
		finalActions: map[decide.RequestID]decide.Action{}, attempts: map[decide.RequestID]int{}, patience: 2 * time.Second,
		inTime: map[string]int{}, arrivedAt: map[decide.RequestID]time.Duration{}}
	r.work = func(decide.RequestID) time.Duration { return 0 }
	r.delay = func(decide.BackendID) (time.Duration, decide.OutcomeCode) { return 50 * time.Millisecond, decide.OK }
	var list []decide.Backend
	for i := range backends {
		list = append(list, decide.Backend{ID: decide.BackendID(i + 1), Zone: "z"})
	}
	r.feed(decide.ListUpdate{Kind: decide.ListCached, Entries: list})
	return r
}

func (r *moduleFixture) feed(e decide.Event) {
	for _, a := range r.m.Handle(r.now, e) {
		switch a := a.(type) {
		case decide.Send:
			r.sent[a.Backend]++
			attempt := r.attempts[a.ID]
			r.attempts[a.ID]++
			d, code := r.delay(a.Backend)
			d += r.work(a.ID)
			if r.outcome != nil {
				d, code = r.outcome(a.ID, a.Backend, d, code)
			}
			if d > a.Timeout {
				d, code = a.Timeout, decide.TimedOut
			}
			end := decide.AttemptEnded{ID: a.ID, Attempt: attempt, Backend: a.Backend, Code: code, Elapsed: d}
			if r.report != nil {
				end.Report = r.report(a.Backend)
			}
			r.due = append(r.due, fixtureEvent{r.now + d, end})
		case decide.CancelAttempt:
			r.due = append(r.due, fixtureEvent{r.now + time.Millisecond, decide.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: decide.Cancelled}})
		case decide.Refuse:
			r.refused++
			r.answered[a.ID], r.finalActions[a.ID] = true, a
			r.retryAfters = append(r.retryAfters, a.RetryAfter)
			class, try, _ := strings.Cut(string(a.ID), "/")
			if left := r.patience - (r.now + a.RetryAfter - r.arrivedAt[decide.RequestID(class)]); len(try) < r.retries && left > 0 {
				id := decide.RequestID(class + "/" + try + "x")
				r.due = append(r.due, fixtureEvent{r.now + a.RetryAfter, decide.RequestArrived{ID: id, Class: strings.TrimRight(class,
					"0123456789"), Patience: left}})
			}
		case decide.Fail:
			r.failed++
			r.answered[a.ID], r.finalActions[a.ID] = true, a
		case decide.SetTimer:
			r.due = append(r.due, fixtureEvent{r.now + a.After, decide.TimerFired{Token: a.Token}})
		case decide.Log:
			if strings.HasPrefix(a.Line, "server ") {
				r.backendLines++
				if strings.Contains(a.Line, "suspect:") {
					r.suspects++
				}
			} else {
				r.statusLines++ // about the whole node
			}
		case decide.Subscribe:
			r.subscriptions++
			r.due = append(r.due, fixtureEvent{r.now + time.Second, decide.ListUpdate{Kind: decide.ListFailed}})
		}
	}
}

// run simulates a stretch of time with rate arrivals per second of a class.
func (r *moduleFixture) run(length time.Duration, rate float64, class string) {
	arrived := 0.0
	for end := r.now + length; r.now < end; r.now += 5 * time.Millisecond {
		var rest, now []fixtureEvent
		for _, d := range r.due {
			if d.at <= r.now {
				now = append(now, d)
			} else {
				rest = append(rest, d)
			}
		}
		r.due = rest
		for _, d := range now {
			if e, ok := d.e.(decide.AttemptEnded); ok {
				e.RequestAnswered = r.answered[e.ID] || e.Code == decide.OK
				first, _, _ := strings.Cut(string(e.ID), "/")
				if e.Code == decide.OK && !r.answered[e.ID] && r.now-r.arrivedAt[decide.RequestID(first)] < 600*time.Millisecond {
					r.inTime[strings.TrimRight(first, "0123456789")]++
				}
				r.answered[e.ID] = e.RequestAnswered
				d.e = e
			}
			r.feed(d.e)
		}
		for arrived += rate * 0.005; arrived >= 1; arrived-- {
			r.next++
			id := decide.RequestID(fmt.Sprint(class, r.next))
			r.arrivedAt[id] = r.now
			r.feed(decide.RequestArrived{ID: id, Class: class, Patience: r.patience})
		}
	}
}

func (r *moduleFixture) reset() { r.sent, r.refused, r.failed = map[decide.BackendID]int{}, 0, 0 }
