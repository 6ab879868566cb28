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

// eventQueueLength is the number of events that can wait for the loop before post blocks.
const eventQueueLength = 1024

// loop owns the decision module: it passes the module one event at a time and carries out the actions that the module
// returns. It never waits for the network.
type loop struct {
	module    *decide.Module
	settings  decide.Settings
	transport *transport
	discovery *discovery
	peers     *peers
	log       *slog.Logger

	ctx       context.Context // parent context of all goroutines that the loop starts
	running   sync.WaitGroup  // those goroutines
	events    chan func()     // run by the loop in order
	hasReady  atomic.Bool     // at least one backend is ready
	startedAt time.Time
	clockBase decide.Time // the module's clock at startedAt

	requests        map[decide.RequestID]*request
	timers          timerHeap
	moduleEvents    []decide.Event // waiting for the module, which handles one at a time
	handling        bool
	ready           map[decide.BackendID]bool
	backendIDs      *backendIDTable
	version         *uint64 // of the list of backends, or nil
	cancelWatch     context.CancelFunc
	watchResponded  bool // the current watch has received its first response
	failureLoggedAt time.Time
}

func newLoop(ctx context.Context, c *Config, t *transport, d *discovery, p *peers, log *slog.Logger) *loop {
	now := time.Now()
	return &loop{
		module:     decide.New(c.Settings, c.Seed),
		settings:   c.Settings,
		transport:  t,
		discovery:  d,
		peers:      p,
		log:        log,
		ctx:        ctx,
		events:     make(chan func(), eventQueueLength),
		startedAt:  now,
		clockBase:  time.Duration(now.UnixNano()),
		requests:   map[decide.RequestID]*request{},
		ready:      map[decide.BackendID]bool{},
		backendIDs: newBackendIDTable(),
	}
}

// now returns the time on the module's clock. The clock begins at the wall-clock time of the node's start, so that the
// start times of backends can be expressed on it, and then advances monotonically.
func (l *loop) now() decide.Time { return l.clockBase + time.Since(l.startedAt) }

// post queues f to run in the loop. It returns false if the loop's context ended before f was queued.
func (l *loop) post(f func()) bool {
	select {
	case l.events <- f:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// run is the body of the loop's goroutine. It returns once the context and all goroutines that the loop started have
// ended.
func (l *loop) run(initial backendList) {
	defer l.running.Wait()
	initial.full = true
	l.applyList(initial, decide.ListCached)
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

// fireTimers passes all expired timers to the module.
func (l *loop) fireTimers() {
	for now := time.Now(); len(l.timers) > 0 && !l.timers[0].at.After(now); {
		l.handle(decide.TimerFired{Token: heap.Pop(&l.timers).(runningTimer).token})
	}
}

// handle passes an event to the module and carries out the actions that the module returns. Events that these actions
// cause are handled after it, in order.
func (l *loop) handle(event decide.Event) {
	l.moduleEvents = append(l.moduleEvents, event)
	if l.handling {
		return
	}
	l.handling = true
	for len(l.moduleEvents) > 0 {
		next := l.moduleEvents[0]
		l.moduleEvents = l.moduleEvents[1:]
		for _, action := range l.module.Handle(l.now(), next) {
			l.carryOut(action)
		}
	}
	l.handling, l.moduleEvents = false, nil
}

// carryOut performs an action of the module.
func (l *loop) carryOut(action decide.Action) {
	switch a := action.(type) {
	case decide.Send:
		l.startAttempt(a)
	case decide.Refuse:
		l.respond(a.ID, response{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case decide.Fail:
		l.respond(a.ID, response{status: http.StatusBadGateway})
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

// receiveMessage passes a datagram from another node to the module.
func (l *loop) receiveMessage(from int, data []byte) {
	l.post(func() { l.handle(decide.MessageReceived{From: from, Data: data}) })
}
