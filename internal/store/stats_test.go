package store

import (
	"testing"
	"time"

	"nickelline/internal/configuration"
)

func TestStatsCountItemsByRoute(t *testing.T) {
	f := newFixture(t, 1)
	r := newRunner(f.execution, f.partition)
	late, other := testJob(testKey(1), 3, 1), testJob(testKey(2), 4, 1)
	f.take(late)
	f.take(other)
	r.refresh(time.Now())
	r.jobs[late.Key].urgency.late = true
	running := r.queue.pop(func(j *openJob) bool { return j == r.jobs[other.Key] })
	r.running[running] = nil
	r.delayed = append(r.delayed, delayedTask{task: r.queue.pop(func(j *openJob) bool { return j == r.jobs[other.Key] })})
	routes := map[string]RouteStats{}
	r.addStats(routes)
	if got := routes[testRoute]; got != (RouteStats{Waiting: 6, Late: 3, Running: 1}) {
		t.Errorf("%+v", got)
	}
}

// What cannot end before results are due goes behind what can.
func TestItemsThatWouldEndTooLateAreLate(t *testing.T) {
	f := newFixture(t, 1)
	r := newRunner(f.execution, f.partition)
	job := testJob(testKey(1), 1, 1)
	f.take(job)
	r.refresh(time.Now())
	route := f.configuration.RouteByName(testRoute)
	open := r.jobs[job.Key]
	lateAt := func(age time.Duration) bool { return r.urgencyOf(route, open, age).late }
	if lateAt(route.CompletionTarget - time.Millisecond) {
		t.Error("late though it is not known how long a run takes")
	}
	for range 200 {
		r.runTimes.observe(testRoute, 2*time.Second)
	}
	if !lateAt(route.CompletionTarget-1900*time.Millisecond) || lateAt(route.CompletionTarget-2100*time.Millisecond) {
		t.Error("a run of 2 s is late from another moment than 2 s before results are due")
	}
	if r.urgencyOf(&configuration.Route{Name: testRoute}, open, time.Hour).late {
		t.Error("late without a time at which results are due")
	}
}
