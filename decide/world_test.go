package decide_test

// A small simulation that drives the module through adverse but legal events. With the rule checker in checker_test.go
// it uses only the module's interface.

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"nickelline/decide"
)

type sentAttempt struct {
	backend decide.BackendID
	at      time.Duration
	ended   bool
	code    decide.OutcomeCode
}

type liveRequest struct {
	class    decide.Class
	deadline time.Duration
	attempts []sentAttempt
	final    bool
	stream   bool
}

type listed struct {
	decide.Backend
	drainNotified time.Duration // when the node was notified that the backend drains or is gone; 0: the backend is ready
	startNotified bool
}

type scheduledEvent struct {
	at    time.Duration
	order int
	event decide.Event
	id    decide.RequestID
}

type ruleSimulation struct {
	settings   decide.Settings
	r          *rand.Rand
	now        time.Duration
	queue      []scheduledEvent
	order      int
	requests   map[decide.RequestID]*liveRequest
	backends   map[decide.BackendID]*listed
	ids        []decide.BackendID
	sends      map[decide.BackendID][]time.Duration
	capacity   float64 // requests per second; this node's share of what a warm backend can do
	module     *decide.Module
	mutate     func(w *ruleSimulation, a []decide.Action) []decide.Action
	events     []decide.Event
	times      []time.Duration
	actions    []string
	violations []string
	next       int
}

func (w *ruleSimulation) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *ruleSimulation) schedule(d time.Duration, p scheduledEvent) {
	w.order++
	p.at, p.order = w.now+max(d, w.settings.MinTick), w.order
	w.queue = append(w.queue, p)
}

func (w *ruleSimulation) handle(e decide.Event) {
	w.events, w.times = append(w.events, e), append(w.times, w.now)
	actions := w.module.Handle(w.now, e)
	w.actions = append(w.actions, fmt.Sprintf("%#v", actions))
	if w.mutate != nil {
		actions = w.mutate(w, actions)
	}
	for _, a := range actions {
		w.carryOut(a)
	}
}

func (w *ruleSimulation) carryOut(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		q := w.requests[a.ID]
		if q == nil {
			w.violation("send for an unknown request")
			return
		}
		w.checkSend(q, a)
		if w.backends[a.Backend] == nil {
			return
		}
		q.attempts = append(q.attempts, sentAttempt{backend: a.Backend, at: w.now})
		w.outcome(a, q, len(q.attempts)-1)
	case decide.Refuse:
		q := w.final(a.ID)
		if q == nil {
			return
		}
		for _, p := range q.attempts {
			ran := !p.ended || !neverRan(p.code)
			if ran && (q.class.Effect == decide.Unsafe ||
				q.class.Effect == decide.Keyed && q.class.KeyScope != decide.ScopeAll) {
				w.violation("refused although it may have run")
			}
		}
	case decide.Fail:
		w.final(a.ID)
	case decide.CancelAttempt:
		q := w.requests[a.ID]
		if !w.settings.MayCancel || q == nil || a.Attempt >= len(q.attempts) {
			w.violation("forbidden or unknown cancel")
			return
		}
		w.schedule(time.Millisecond, scheduledEvent{id: a.ID, event: decide.AttemptEnded{ID: a.ID, Attempt: a.Attempt,
			Backend: q.attempts[a.Attempt].backend, Code: decide.Cancelled}})
	case decide.Probe:
		if !w.settings.MayProbe {
			w.violation("forbidden probe")
		}
	case decide.SendMessage:
		if !w.settings.MayMessage || len(a.Data) > 256 {
			w.violation("forbidden message")
		}
	case decide.SetTimer:
		late := time.Duration(0)
		if w.r.Intn(20) == 0 {
			late = time.Duration(w.r.Intn(200)) * time.Millisecond
		}
		w.schedule(a.After+late, scheduledEvent{event: decide.TimerFired{Token: a.Token}})
	case decide.Subscribe, decide.FetchList:
		if w.r.Intn(3) == 0 {
			w.schedule(time.Second, scheduledEvent{event: decide.ListUpdate{Kind: decide.ListFailed}})
		} else {
			w.schedule(50*time.Millisecond, scheduledEvent{event: decide.ListUpdate{Kind: decide.ListChanges}})
		}
	}
}

// outcome schedules the end of an attempt.
func (w *ruleSimulation) outcome(a decide.Send, q *liveRequest, n int) {
	limit := q.deadline - w.now
	if a.Timeout != 0 {
		limit = min(limit, a.Timeout)
	}
	codes := []decide.OutcomeCode{decide.OK, decide.OK, decide.OK, decide.OK, decide.OK, decide.BackendError,
		decide.Full, decide.TimedOut, decide.ConnectFailed, decide.Reset, decide.NotSent}
	code, took := codes[w.r.Intn(len(codes))], time.Duration(1+w.r.Intn(400))*time.Millisecond
	if uint32(a.Backend)%5 == uint32(w.now.Seconds()/7)%5 && w.r.Intn(2) == 0 {
		code = decide.TimedOut // some backends do not answer for a while
	}
	if code == decide.TimedOut || took > limit {
		code, took = decide.TimedOut, limit
	}
	if q.class.Streamed && code == decide.OK && took > 10*time.Millisecond && w.r.Intn(2) == 0 {
		w.schedule(took/2, scheduledEvent{event: decide.StreamStarted{ID: a.ID, Attempt: n, Backend: a.Backend, Elapsed: took / 2}})
	}
	var report *decide.Report
	if w.r.Intn(3) == 0 {
		report = &decide.Report{InFlight: float64(w.r.Intn(30)), HasInFlight: w.r.Intn(4) > 0}
	}
	w.schedule(took, scheduledEvent{id: a.ID, event: decide.AttemptEnded{ID: a.ID, Attempt: n, Backend: a.Backend, Elapsed: took,
		Code: code, Report: report}})
}

// deliver passes an event to the module as the wire would: one outcome for each attempt, and no events about requests
// that the node has forgotten.
func (w *ruleSimulation) deliver(p scheduledEvent) {
	switch e := p.event.(type) {
	case decide.AttemptEnded:
		q := w.requests[e.ID]
		if q == nil || q.attempts[e.Attempt].ended {
			return
		}
		at := &q.attempts[e.Attempt]
		at.ended, at.code = true, e.Code
		e.RequestAnswered = q.final || e.Code == decide.OK
		if e.Code == decide.OK && !q.final {
			q.final = true
		}
		w.handle(e)
		return
	case decide.StreamStarted:
		q := w.requests[e.ID]
		if q == nil || q.final || q.attempts[e.Attempt].ended {
			return
		}
		q.stream = true
	case decide.RequestAbandoned:
		q := w.requests[e.ID]
		if q == nil || q.final {
			return
		}
		q.final = true
	}
	w.handle(p.event)
}

// arrive adds a request of a random class.
func (w *ruleSimulation) arrive() {
	w.next++
	id := decide.RequestID(fmt.Sprintf("%036d", w.next))
	c := w.settings.Classes[w.r.Intn(len(w.settings.Classes))]
	patience := time.Duration(float64(c.Deadline) * (0.3 + 0.7*w.r.Float64()))
	if w.r.Intn(50) == 0 {
		patience = 0
	}
	w.requests[id] = &liveRequest{class: c, deadline: w.now + patience}
	if w.r.Intn(40) == 0 {
		w.schedule(patience/2, scheduledEvent{event: decide.RequestAbandoned{ID: id}})
	}
	e := decide.RequestArrived{ID: id, Class: c.Name, Patience: patience}
	if len(w.settings.Tenants) > 0 {
		e.Tenant = w.settings.Tenants[w.r.Intn(len(w.settings.Tenants))].Name
	}
	w.handle(e)
}

func (w *ruleSimulation) newBackend(started time.Duration) decide.Backend {
	w.next++
	return decide.Backend{ID: decide.BackendID(w.next*2654435761 + 1), Zone: fmt.Sprint("z", w.r.Intn(2)),
		Cell: w.r.Intn(3), Size: 1, StartedAt: started}
}

// publish records an update of the list and passes it to the module.
func (w *ruleSimulation) publish(kind decide.ListKind, entries []decide.Backend) {
	in := map[decide.BackendID]bool{}
	for _, n := range entries {
		s := w.backends[n.ID]
		if s == nil {
			s = &listed{}
			w.backends[n.ID] = s
			w.ids = append(w.ids, n.ID)
		}
		s.startNotified = n.State == decide.Ready && n.StartedAt > 0
		s.Backend = n
		in[n.ID] = true
		if n.State == decide.Ready {
			s.drainNotified = 0
		} else if s.drainNotified == 0 {
			s.drainNotified = w.now
		}
	}
	if kind != decide.ListChanges {
		for _, id := range w.ids {
			if s := w.backends[id]; !in[id] && s.drainNotified == 0 {
				s.drainNotified, s.State = w.now, decide.Gone
			}
		}
	}
	w.handle(decide.ListUpdate{Kind: kind, Entries: entries})
}

func (w *ruleSimulation) changeList() {
	b := w.backends[w.ids[w.r.Intn(len(w.ids))]].Backend
	switch w.r.Intn(6) {
	case 0:
		b.State = decide.Draining
	case 1:
		b.State = decide.Gone
	case 2:
		b.State, b.StartedAt = decide.Ready, w.now
	case 3:
		b = w.newBackend(w.now)
	case 4:
		var all []decide.Backend
		for _, id := range w.ids {
			if e := w.backends[id].Backend; e.State != decide.Gone {
				all = append(all, e)
			}
		}
		w.publish(decide.ListFull, all)
		return
	case 5:
		if w.settings.ListOnRequest {
			w.handle(decide.ListUpdate{Kind: decide.ListFailed})
		}
		return
	}
	w.publish(decide.ListChanges, []decide.Backend{b})
}

func (w *ruleSimulation) start() {
	w.module = decide.New(w.settings, w.r.Int63())
	w.requests, w.queue = map[decide.RequestID]*liveRequest{}, nil
	var all []decide.Backend
	for _, id := range w.ids {
		if e := w.backends[id].Backend; e.State != decide.Gone {
			all = append(all, e)
		}
	}
	for len(all) < 4 {
		all = append(all, w.newBackend(0))
	}
	w.backends, w.ids = map[decide.BackendID]*listed{}, nil
	w.publish(decide.ListCached, all)
}

// run simulates a stretch of time; restarts says whether the node may restart during it.
func (w *ruleSimulation) run(length time.Duration, rate float64, restarts bool) {
	const step = 5 * time.Millisecond
	for end := w.now + length; w.now < end; w.now += step {
		sort.SliceStable(w.queue, func(i, j int) bool {
			return w.queue[i].at < w.queue[j].at || w.queue[i].at == w.queue[j].at && w.queue[i].order < w.queue[j].order
		})
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			p := w.queue[0]
			w.queue = w.queue[1:]
			w.deliver(p)
		}
		for n := rate * step.Seconds(); n > 0; n-- {
			if w.r.Float64() < n {
				w.arrive()
			}
		}
		if w.r.Intn(150) == 0 {
			w.changeList()
		}
		if restarts && w.r.Intn(1500) == 0 {
			w.start()
		}
		for id, q := range w.requests {
			if !q.final && !q.stream && w.now > q.deadline+w.settings.AnswerSlack+step {
				w.violation("request %s has no answer in time", id)
				q.final = true
			}
		}
	}
}

func newRuleSimulation(seed int64) *ruleSimulation {
	r := rand.New(rand.NewSource(seed))
	w := &ruleSimulation{r: r, now: time.Hour, backends: map[decide.BackendID]*listed{}, sends: map[decide.BackendID][]time.Duration{}}
	ms := func(lo, hi int) time.Duration { return time.Duration(lo+r.Intn(hi-lo)) * time.Millisecond }
	w.settings = decide.Settings{Nodes: 1 + r.Intn(6), Zone: "z0", MaxAttempts: 1 + r.Intn(5), MayOverlap: r.Intn(2) == 0,
		MayCancel: r.Intn(3) > 0, MayProbe: r.Intn(2) == 0, MayMessage: r.Intn(2) == 0, MayRetryAfter: r.Intn(2) == 0,
		MaxRetryAfter: time.Second, ConnectTimeout: 100 * time.Millisecond, MinTick: 5 * time.Millisecond,
		ListOnRequest: r.Intn(2) == 0, AnswerSlack: 20 * time.Millisecond, MaxListAge: 10 * time.Second,
		DrainGrace: ms(0, 1000), ColdStartShare: 0.3, WarmUpTime: ms(3000, 9000), OverloadFactor: 2.5, OverloadTime: time.Second}
	for i, n := 0, 1+r.Intn(4); i < n; i++ {
		target := ms(100, 1500)
		w.settings.Classes = append(w.settings.Classes, decide.Class{Name: fmt.Sprint("c", i), Value: float64(r.Intn(13)), Target: target,
			Deadline: 2*target + ms(0, 2000), LateValue: float64(r.Intn(2)) / 2, Effect: decide.Effect(r.Intn(3)),
			KeyScope: decide.Scope(r.Intn(3)), DedupWindow: ms(100, 4000), Streamed: r.Intn(4) == 0})
	}
	if r.Intn(3) == 0 {
		w.settings.Tenants = []decide.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
	}
	w.start()
	return w
}
