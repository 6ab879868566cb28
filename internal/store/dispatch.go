package store

import (
	"context"
	"math/rand/v2"
	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"strings"
	"time"
)

const (
	// A route whose item was refused pauses for as long as admission says, within these bounds: waiting items may take what
	// becomes free soon, and one look costs little.
	leastRefusalPause = 40 * time.Millisecond
	mostRefusalPause  = 120 * time.Millisecond
	// heldPause is the pause of a route that exists, but not for its items' paths.
	heldPause = time.Second
)

// dispatch sends waiting items until there are none or they are refused.
func (r *runner) dispatch(ctx context.Context) {
	if !r.mayDispatch(time.Now()) {
		return
	}
	snapshot, current := r.execution.Configuration()
	if !current || !r.proven(ctx) {
		r.mutex.Lock()
		r.idle = time.Now().Add(unprovenPause)
		r.mutex.Unlock()
		return
	}
	r.endPauses(time.Now())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.sendNext(ctx, snapshot) {
	}
}

func (r *runner) mayDispatch(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.queue.ready > 0 && !r.idle.After(now)
}

func (r *runner) proven(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.execution.ProofBound)
	defer cancel()
	if !r.partition.replica.IsHead() {
		return false
	}
	// A proof that is about to run out is renewed early, so that sending goes on.
	return r.partition.prove(ctx, r.execution.ProofBound) == nil && r.partition.proof.within(r.execution.ProofBound)
}

// sendNext sends one item. It is false if there is none that may be sent.
func (r *runner) sendNext(ctx context.Context, snapshot *configuration.Snapshot) bool {
	now := time.Now()
	t := r.next(now)
	if t == nil {
		return false
	}
	route := routeOf(snapshot, t)
	switch {
	case route != nil:
		return r.send(ctx, snapshot, route, t)
	case snapshot.RouteByName(t.job.open.Route) != nil:
		r.hold(t, now.Add(heldPause))
	default:
		r.finish(ctx, t, batch.Result{State: batch.Abandoned})
	}
	return true
}

// next takes an item that may be sent, one whose result is not late yet if there is one.
func (r *runner) next(now time.Time) *task {
	mayRun := func(j *openJob) bool { return !r.paused[j.open.Route].After(now) }
	if t := r.queue.pop(func(j *openJob) bool { return !j.urgency.late && mayRun(j) }); t != nil {
		return t
	}
	return r.queue.pop(mayRun)
}

// routeOf finds the route that the configuration has for an item's path. It is nil if that is no batch route.
func routeOf(snapshot *configuration.Snapshot, t *task) *configuration.Route {
	path, _, _ := strings.Cut(t.item.Path, "?")
	route := snapshot.Match(t.job.open.Host, path)
	if route == nil || route.Kind != configuration.Batch {
		return nil
	}
	return route
}

// hold gives an item back and pauses its route.
func (r *runner) hold(t *task, until time.Time) {
	r.queue.push(t)
	r.paused[t.job.open.Route] = until
}

func (r *runner) send(ctx context.Context, snapshot *configuration.Snapshot, route *configuration.Route, t *task) bool {
	now := time.Now()
	service := route.Choose(rand.Float64())
	if service == nil {
		r.hold(t, now.Add(heldPause))
		return true
	}
	if !r.execution.Slots.acquire(r) {
		r.queue.push(t) // a free slot wakes the loop
		return false
	}
	backend, permit, refusal := r.execution.Admission.Pick(service.Name, now, admissionRequest(snapshot, route, t))
	if refusal != nil {
		r.execution.Slots.release()
		t.avoid = ""
		r.hold(t, now.Add(min(max(refusal.RetryAfter, leastRefusalPause), mostRefusalPause)))
		r.waitForTurn(t.job.open.Route)
		return true
	}
	a := newAttempt(ctx, r, t, route, backend, permit)
	r.running[t] = a
	r.partition.running.Add(1)
	go a.run(ctx)
	return true
}

// ended takes back an item whose attempt is over, and offers the room at its backend.
func (r *runner) ended(ctx context.Context, a *attempt, v verdict) {
	r.settle(ctx, a, v)
	r.execution.Turns.offer(a.task.job.open.Route)
}

func (r *runner) settle(ctx context.Context, a *attempt, v verdict) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.execution.Slots.release()
	t := a.task
	delete(r.running, t)
	r.partition.running.Add(-1)
	defer r.poke()
	if r.jobs[t.job.open.Key] != t.job {
		return
	}
	switch v.next {
	case complete:
		r.finish(ctx, t, batch.Result{State: batch.Completed, Content: v.content, From: v.from})
	case giveUp:
		r.finish(ctx, t, batch.Result{State: batch.Abandoned})
	case tryAgain:
		r.delayed = append(r.delayed, delayedTask{task: t, due: time.Now().Add(v.pause)})
	}
}
