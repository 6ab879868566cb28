package store

import (
	"context"
	"math/rand/v2"
	"time"

	"nickelline/internal/configuration"
	"nickelline/internal/store/scheduler"
)

// unroutablePause is how long a route is paused if it has no service to send its items to.
const unroutablePause = time.Second

// dispatch sends waiting items until none is left that may be sent now.
func (r *runner) dispatch(ctx context.Context) {
	if !r.hasItemsToSend(time.Now()) {
		return
	}
	current, proven := r.config.configuration()
	if !proven || r.appender.isBehind() || !r.mayActAsHead(ctx) {
		r.suspend(time.Now().Add(unconfirmedPause))
		return
	}
	r.endPauses(time.Now())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.sendNext(ctx, current) {
	}
}

func (r *runner) hasItemsToSend(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.schedule.MayRun(now)
}

func (r *runner) suspend(until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.schedule.Suspend(until)
}

// mayActAsHead reports whether this store is the head, by a confirmation that is fresh enough to send items. It renews a confirmation
// that has become too old for that, so that sending continues.
func (r *runner) mayActAsHead(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, r.config.sendConfirmationAge)
	defer cancel()
	if !r.partition.replica.IsHead() {
		return false
	}
	if err := r.partition.confirm(ctx, r.config.sendConfirmationAge); err != nil {
		return false
	}
	return r.partition.confirmation.isFresh(r.config.sendConfirmationAge)
}

// sendNext sends the next item. It returns false if no item may be sent now. The caller holds the mutex.
func (r *runner) sendNext(ctx context.Context, current *configuration.Current) bool {
	now := time.Now()
	item := r.schedule.Next(now)
	if item == nil {
		return false
	}
	route := routeOf(current.Snapshot, &item.Job.Pending)
	switch {
	case route != nil && !item.MayRun(maxAttemptsOf(route, &item.Job.Pending)):
		r.abandon(ctx, abandonment{reason: abandonedByServerErrors, configuration: current, route: route}, item)
	case route != nil:
		return r.send(ctx, current, route, item)
	case r.mayPredate(current, &item.Job.Pending, now):
		r.hold(item, heldByRoute, now.Add(unconfirmedPause))
	default:
		r.abandon(ctx, abandonment{reason: abandonedByRoute, configuration: current}, item)
	}
	return true
}

// hold returns an item that cannot be sent to the schedule, and pauses its route.
func (r *runner) hold(item *scheduler.Item, reason holdReason, until time.Time) {
	route := item.Job.Pending.Route.Name
	r.config.held.add(route, reason, 1)
	r.schedule.GiveBack(item)
	r.schedule.PauseRoute(route, until)
}

// send starts an attempt of an item, or returns the item to the schedule. It returns false if all slots are taken, so that no other
// item can be sent. The caller holds the mutex.
func (r *runner) send(ctx context.Context, current *configuration.Current, route *configuration.Route, item *scheduler.Item) bool {
	now := time.Now()
	service := route.Choose(rand.Float64())
	if service == nil {
		r.hold(item, heldByRoute, now.Add(unroutablePause))
		return true
	}
	if !r.config.slots.TryAcquire(r) {
		r.config.held.add(item.Job.Pending.Route.Name, heldBySlots, 1)
		r.schedule.GiveBack(item) // Slots.Release wakes the loop
		return false
	}
	backend, permit, refusal := r.config.admission.Pick(service.Name, now, admissionRequest(current.Snapshot, route, item))
	if refusal != nil {
		r.config.slots.Release()
		item.AvoidBackend = ""
		r.hold(item, heldByAdmission, now.Add(scheduler.RefusalPause(refusal.RetryAfter)))
		r.enterRetryQueue(item.Job.Pending.Route.Name)
		return true
	}
	a := newAttempt(ctx, r, item, current, route, backend, permit)
	r.running[item] = a
	r.partition.running.Add(1)
	go a.run()
	return true
}
