package scheduler

import (
	"iter"
	"maps"
	"time"

	"nickelline/internal/batch"
)

// Schedule holds the jobs of one partition that have unfinished items, and decides which item runs next. It is not safe for
// concurrent use. It does not hold running items: the caller keeps them until it calls GiveBack, DelayItem or Complete.
type Schedule struct {
	jobs           map[batch.Key]*Job
	queue          queue
	delayed        []delayedItem
	pausedUntil    map[string]time.Time // by route: its items do not run before this time
	suspendedUntil time.Time            // no item of any route runs before this time
}

// NewSchedule returns a schedule without jobs.
func NewSchedule() *Schedule {
	return &Schedule{jobs: map[batch.Key]*Job{}, pausedUntil: map[string]time.Time{}}
}

// Add adds a job after the other jobs of its tenant. A job that is already in the schedule is not changed.
func (s *Schedule) Add(pending batch.PendingJob) {
	if s.jobs[pending.Key] != nil {
		return
	}
	added := newJob(pending)
	s.jobs[pending.Key] = added
	s.queue.add(added)
}

// Job returns the job with a key, or nil if it is not in the schedule.
func (s *Schedule) Job(key batch.Key) *Job { return s.jobs[key] }

// Contains reports whether a job is still in the schedule: it has not been removed, and not all of its items are complete.
func (s *Schedule) Contains(j *Job) bool { return s.jobs[j.Pending.Key] == j }

// Jobs returns all jobs, in no particular order.
func (s *Schedule) Jobs() iter.Seq[*Job] { return maps.Values(s.jobs) }

// Len returns the number of jobs.
func (s *Schedule) Len() int { return len(s.jobs) }

// Waiting returns the number of items that are neither running nor delayed.
func (s *Schedule) Waiting() int { return s.queue.waiting }

// Delayed returns the number of items whose delay has not ended.
func (s *Schedule) Delayed() int { return len(s.delayed) }

// Remove removes a job with its waiting and delayed items.
func (s *Schedule) Remove(j *Job) {
	delete(s.jobs, j.Pending.Key)
	s.queue.remove(j)
	s.takeDelayed(j)
}

// Next removes and returns the item that runs next, or nil if none may run now. Items of late jobs run only if no other item may.
func (s *Schedule) Next(now time.Time) *Item {
	mayRun := func(j *Job) bool { return !s.pausedUntil[j.Pending.Route.Name].After(now) }
	inTime := func(j *Job) bool { return !j.Urgency.Late && mayRun(j) }
	if item := s.queue.pop(inTime); item != nil {
		return item
	}
	return s.queue.pop(mayRun)
}

// GiveBack puts back an item that Next returned and that was not run. The item goes before the others of its job.
func (s *Schedule) GiveBack(item *Item) { s.queue.pushFront(item) }

// Complete records that an item has ended. The job is removed when all of its items have ended.
func (s *Schedule) Complete(item *Item) {
	j := item.Job
	j.remaining--
	if j.remaining == 0 && s.Contains(j) {
		s.Remove(j)
	}
}

// TakeWaiting removes and returns the waiting and delayed items of a job, which stays in the schedule. The caller must call
// Complete for each returned item.
func (s *Schedule) TakeWaiting(j *Job) []*Item {
	return append(s.queue.takeWaiting(j), s.takeDelayed(j)...)
}

// MostUrgent returns the urgency of the most urgent job that has waiting items of a route. It returns false if there is none.
func (s *Schedule) MostUrgent(route string) (Urgency, bool) {
	if j := s.queue.mostUrgent(route); j != nil {
		return j.Urgency, true
	}
	return Urgency{}, false
}

// RouteCounts are the numbers of items of one route in a schedule.
type RouteCounts struct {
	// Waiting counts the items that are not running; delayed ones are included.
	Waiting int
	// Late counts the items of Waiting whose job's completion target has passed. Delayed ones are not included.
	Late int
}

// CountByRoute returns the numbers of items of each route that has any jobs.
func (s *Schedule) CountByRoute() map[string]RouteCounts {
	counts := map[string]RouteCounts{}
	for _, j := range s.jobs {
		count := counts[j.Pending.Route.Name]
		count.Waiting += len(j.waiting)
		if j.Urgency.Late {
			count.Late += len(j.waiting)
		}
		counts[j.Pending.Route.Name] = count
	}
	for _, d := range s.delayed {
		count := counts[d.item.Job.Pending.Route.Name]
		count.Waiting++
		counts[d.item.Job.Pending.Route.Name] = count
	}
	return counts
}
