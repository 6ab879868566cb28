package store

import (
	"testing"
	"time"
)

func TestStatsCountItemsByRoute(t *testing.T) {
	f := newFixture(t, 1)
	r := newRunner(f.config, f.partition, testTerm)
	late, other := testJob(testKey(1), 3, 1), testJob(testKey(2), 4, 1)
	f.submit(late)
	f.submit(other)
	now := time.Now()
	r.updateSchedule(now)
	r.schedule.Job(late.Key).Urgency.Late = true
	running, delayed := r.schedule.Next(now), r.schedule.Next(now)
	if running.Job.Pending.Key != other.Key || delayed.Job.Pending.Key != other.Key {
		t.Fatalf("next items are of jobs %v and %v, want %v", running.Job.Pending.Key, delayed.Job.Pending.Key, other.Key)
	}
	r.running[running] = nil
	r.schedule.DelayItem(delayed, now)
	routes := map[string]RouteStats{}
	r.addStats(routes)
	if got, want := routes[testRoute], (RouteStats{Waiting: 6, Late: 3, Running: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
