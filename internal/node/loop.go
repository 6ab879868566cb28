package node

import (
	"container/heap"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"nickelline/decide"
)

// eventQueueLength is the number of events that may wait for the loop before those who post more have to wait.
const eventQueueLength = 1024

// loop owns the decision module: it hands all events to it, one at a time, and carries out what the module asks for.
// Nothing in it waits for the network.
type loop struct {
	module    *decide.Module
	settings  decide.Settings
	transport *transport
	discovery *discovery
	peers     *peers
	log       *slog.Logger

	ctx       context.Context // of all goroutines that the loop starts
	running   sync.WaitGroup  // those goroutines
	events    chan func()     // run by the loop in order
	hasReady  atomic.Bool     // some backend is ready
	startedAt time.Time
	clockBase decide.Time // the module's clock at startedAt

	requests      map[decide.RequestID]*request
	timers        timerHeap
	queue         []decide.Event // events for the module that come about while it handles one
	handling      bool
	ready         map[decide.BackendID]bool
	numbering     *backendNumbers
	version       *uint64 // of the list
	endWatch      context.CancelFunc
	watchOpen     bool // the watch has had its first answer
	faultLoggedAt time.Time
}

func newLoop(ctx context.Context, c *Config, t *transport, d *discovery, p *peers, log *slog.Logger) *loop {
	now := time.Now()
	return &loop{
		module:    decide.New(c.Settings, c.Seed),
		settings:  c.Settings,
		transport: t,
		discovery: d,
		peers:     p,
		log:       log,
		ctx:       ctx,
		events:    make(chan func(), eventQueueLength),
		startedAt: now,
		clockBase: time.Duration(now.UnixNano()),
		requests:  map[decide.RequestID]*request{},
		ready:     map[decide.BackendID]bool{},
		numbering: newBackendNumbers(),
	}
}

// now returns the time on the module's clock. It goes on evenly from the time of day at the start, so that the times at
// which backends started can be given on it.
func (l *loop) now() decide.Time { return l.clockBase + time.Since(l.startedAt) }

// post has f run in the loop, and reports whether it will be: not after the end of the loop's context.
func (l *loop) post(f func()) bool {
	select {
	case l.events <- f:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// run is the loop's goroutine. It returns when the context has ended and all goroutines that it has started have.
func (l *loop) run(known list) {
	defer l.running.Wait()
	known.full = true
	l.applyList(known, decide.ListCached)
	if !l.settings.ListOnRequest {
		l.followList()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.timers[0].at))
		}
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.events:
			f()
		case <-timer.C:
			l.fireTimers()
		}
	}
}

// fireTimers hands the module all timers that are due by now.
func (l *loop) fireTimers() {
	for now := time.Now(); len(l.timers) > 0 && !l.timers[0].at.After(now); {
		l.handle(decide.TimerFired{Token: heap.Pop(&l.timers).(runningTimer).token})
	}
}

// handle gives the module an event and carries out what it asks for. Events that come about meanwhile are handled
// behind it, in order.
func (l *loop) handle(event decide.Event) {
	l.queue = append(l.queue, event)
	if l.handling {
		return
	}
	l.handling = true
	for len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = l.queue[1:]
		for _, action := range l.module.Handle(l.now(), next) {
			l.carryOut(action)
		}
	}
	l.handling, l.queue = false, nil
}

func (l *loop) carryOut(action decide.Action) {
	switch a := action.(type) {
	case decide.Send:
		l.startAttempt(a)
	case decide.Refuse:
		l.answerRequest(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case decide.Fail:
		l.answerRequest(a.ID, answer{status: http.StatusBadGateway})
	case decide.CancelAttempt:
		l.cancelAttempt(a)
	case decide.SetTimer:
		heap.Push(&l.timers, runningTimer{time.Now().Add(a.After), a.Token})
	case decide.Probe:
		l.probe(a.Backend)
	case decide.SendMessage:
		l.peers.send(a.To, a.ToAll, a.Data)
	case decide.Subscribe:
		l.subscribe(a.On)
	case decide.FetchList:
		l.fetchList()
	case decide.CloseIdle:
		l.transport.CloseIdle(a.Backend)
	case decide.Log:
		l.log.Info(a.Line)
	}
}

// receiveMessage takes a datagram from another node.
func (l *loop) receiveMessage(from int, data []byte) {
	l.post(func() { l.handle(decide.MessageReceived{From: from, Data: data}) })
}
