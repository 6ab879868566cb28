package store

import (
	"testing"
	"time"
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
