package scheduler

import (
	"slices"
	"testing"
	"time"

	"nickelline/internal/configuration"
)

var testStart = time.Unix(1_000_000, 0)

// at returns the time that lies a number of milliseconds after testStart.
func at(milliseconds int) time.Time {
	return testStart.Add(time.Duration(milliseconds) * time.Millisecond)
}

func newTestSchedule(jobs ...*Job) *Schedule {
	s := NewSchedule()
	for _, j := range jobs {
		s.Add(j.Pending)
	}
	return s
}

// checkNext takes all items that may run at a time, and compares their identifiers.
func checkNext(t *testing.T, s *Schedule, now time.Time, want ...string) {
	t.Helper()
	var got []string
	for item := s.Next(now); item != nil; item = s.Next(now) {
		got = append(got, item.Pending.Identifier)
	}
	if !slices.Equal(got, want) {
		t.Errorf("next items: got %v, want %v", got, want)
	}
}

func TestLateJobsGoLast(t *testing.T) {
	late, inTime := newTestJob("a", 1, 2), newTestJob("a", 2, 2)
	s := newTestSchedule(late, inTime)
	s.Job(late.Pending.Key).Urgency.Late = true
	checkNext(t, s, at(0), "a2.0", "a2.1", "a1.0", "a1.1")
}

func TestPausedRouteRunsWhenThePauseIsOver(t *testing.T) {
	s := newTestSchedule(newTestJob("a", 1, 1), newTestJob("b", 1, 1))
	s.PauseRoute("a", at(50))
	checkNext(t, s, at(49), "b1.0")
	if got, want := s.NextChange(at(49), at(500)), at(50); !got.Equal(want) {
		t.Errorf("next change: got %v, want %v", got, want)
	}
	checkNext(t, s, at(50), "a1.0")
}

func TestDelayedItemWaitsUntilItIsDue(t *testing.T) {
	s := newTestSchedule(newTestJob("a", 1, 2))
	first := s.Next(at(0))
	s.DelayItem(first, at(30))
	if got, want := s.NextChange(at(0), at(500)), at(30); !got.Equal(want) {
		t.Errorf("next change: got %v, want %v", got, want)
	}
	s.ReleaseDelayed(at(29))
	if got := s.Waiting(); got != 1 {
		t.Errorf("waiting before the item is due: got %d, want 1", got)
	}
	s.ReleaseDelayed(at(30))
	checkNext(t, s, at(30), "a1.0", "a1.1")
}

func TestSuspendedScheduleMayNotRun(t *testing.T) {
	s := newTestSchedule(newTestJob("a", 1, 1))
	s.Suspend(at(100))
	if s.MayRun(at(99)) {
		t.Error("MayRun during the suspension: got true, want false")
	}
	if got, want := s.NextChange(at(0), at(500)), at(100); !got.Equal(want) {
		t.Errorf("next change: got %v, want %v", got, want)
	}
	if !s.MayRun(at(100)) {
		t.Error("MayRun after the suspension: got false, want true")
	}
	s.Next(at(100))
	if s.MayRun(at(100)) {
		t.Error("MayRun without waiting items: got true, want false")
	}
}

// A route in the retry queue stays paused until the partition is offered capacity; the pauses of other routes end when due.
func TestEndPausesKeepsQueuedRoutesPaused(t *testing.T) {
	s := newTestSchedule(newTestJob("a", 1, 1), newTestJob("b", 1, 1), newTestJob("c", 1, 1))
	s.PauseRoute("a", at(10))
	s.PauseRoute("b", at(10))
	s.PauseRoute("c", at(20))
	queued := func(route string) bool { return route == "a" }
	if got, want := s.EndPauses(at(10), queued), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("routes to be offered: got %v, want %v", got, want)
	}
	got := s.PausedRoutes()
	slices.Sort(got)
	if want := []string{"a", "c"}; !slices.Equal(got, want) {
		t.Errorf("paused routes: got %v, want %v", got, want)
	}
	checkNext(t, s, at(10), "b1.0")
	if !s.ResumeRoute("a") {
		t.Error("resume route: got no waiting items, want one")
	}
	checkNext(t, s, at(10), "a1.0")
	if s.ResumeRoute("a") {
		t.Error("resume route: got waiting items, want none after all were taken")
	}
}

func TestJobLeavesWithItsLastItem(t *testing.T) {
	s := newTestSchedule(newTestJob("a", 1, 3))
	running := s.Next(at(0))
	s.DelayItem(s.Next(at(0)), at(30))
	abandoned := s.TakeWaiting(running.Job)
	if len(abandoned) != 2 || s.Waiting() != 0 {
		t.Fatalf("taken: got %d items, %d left, want 2, 0", len(abandoned), s.Waiting())
	}
	for _, item := range abandoned {
		s.Complete(item)
	}
	if !s.Contains(running.Job) {
		t.Error("the job was removed while one of its items is running")
	}
	s.Complete(running)
	if s.Contains(running.Job) || s.Len() != 0 {
		t.Error("the job was not removed after its last item ended")
	}
}

func TestUrgencyOf(t *testing.T) {
	route := &configuration.Route{CompletionTarget: 10 * time.Second, MaxQueuedTokens: 1000}
	for _, test := range []struct {
		name         string
		route        *configuration.Route
		age          time.Duration
		queuedTokens int64
		want         Urgency
		wantUrgent   bool
	}{
		{"young job of a tenant with few tokens", route, time.Second, 10, Urgency{Pressure: 0.1}, false},
		{"half of the completion target", route, 5 * time.Second, 10, Urgency{Pressure: 0.5}, true},
		{"most of the queued tokens", route, time.Second, 900, Urgency{Pressure: 0.9}, true},
		{"past the completion target", route, 10 * time.Second, 10, Urgency{Late: true, Pressure: 1}, true},
		{"route without limits", &configuration.Route{}, time.Hour, 900, Urgency{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := UrgencyOf(test.route, test.age, test.queuedTokens)
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if got.IsUrgent() != test.wantUrgent {
				t.Errorf("urgent: got %v, want %v", got.IsUrgent(), test.wantUrgent)
			}
		})
	}
}

func TestRefusalPauseIsBounded(t *testing.T) {
	for _, test := range []struct{ retryAfter, want time.Duration }{
		{0, minRefusalPause},
		{70 * time.Millisecond, 70 * time.Millisecond},
		{time.Minute, maxRefusalPause},
	} {
		if got := RefusalPause(test.retryAfter); got != test.want {
			t.Errorf("pause after a refusal with retry-after %v: got %v, want %v", test.retryAfter, got, test.want)
		}
	}
}

func TestBackoffGrowsWhileAttemptsBringNothing(t *testing.T) {
	item := &Item{}
	limit := minBackoff
	for attempt := range 40 {
		got := item.Backoff("backend-1")
		if got < limit/2 || got >= limit {
			t.Fatalf("attempt %d: got %v, want %v to %v", attempt, got, limit/2, limit)
		}
		limit = min(2*limit, maxBackoff)
	}
	if item.AvoidBackend != "backend-1" {
		t.Errorf("avoided backend: got %q, want %q", item.AvoidBackend, "backend-1")
	}
	item.MadeProgress()
	if got := item.Backoff("backend-1"); got >= minBackoff {
		t.Errorf("after progress: got %v, want less than %v", got, minBackoff)
	}
}

func TestServerErrorsAreAllowedUpToMaxAttempts(t *testing.T) {
	for _, test := range []struct {
		maxAttempts int
		want        []bool
	}{
		{0, []bool{false}},
		{1, []bool{false}},
		{3, []bool{true, true, false}},
	} {
		item := &Item{}
		for i, want := range test.want {
			item.CountServerError(true)
			if got := item.MayRun(test.maxAttempts); got != want {
				t.Errorf("%d attempts allowed, server error %d, may retry: got %v, want %v", test.maxAttempts, i+1, got, want)
			}
		}
	}
}
