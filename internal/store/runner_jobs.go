package store

import (
	"context"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/store/scheduler"
)

// jobAdded implements stateListener: it makes the loop add the job to the schedule.
func (r *runner) jobAdded(key batch.Key) {
	r.mutex.Lock()
	r.added = append(r.added, key)
	r.mutex.Unlock()
	r.Wake()
}

// stateRestored implements stateListener: it makes the loop add all pending jobs to the schedule.
func (r *runner) stateRestored() {
	r.mutex.Lock()
	r.reload = true
	r.mutex.Unlock()
	r.Wake()
}

// jobEnded implements stateListener: it removes the job from the schedule, and cancels its running items.
func (r *runner) jobEnded(key batch.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ended := r.schedule.Job(key)
	if ended == nil {
		return
	}
	r.schedule.Remove(ended)
	for item, a := range r.running {
		if item.Job == ended {
			a.cancel(errJobEnded)
		}
	}
}

// updateSchedule adds new jobs to the schedule, and releases delayed items that are due. It reports whether there are new jobs.
func (r *runner) updateSchedule(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.schedule.Len()
	if r.reload {
		r.reload = false
		r.added = nil
		for _, pending := range r.pendingJobs() {
			r.schedule.Add(pending)
		}
	}
	for _, key := range r.added {
		if pending, ok := r.pendingJob(key); ok {
			r.schedule.Add(pending)
		}
	}
	r.added = nil
	r.schedule.ReleaseDelayed(now)
	return r.schedule.Len() > known
}

func (r *runner) pendingJobs() (pending []batch.PendingJob) {
	r.partition.state.read(func(m *batch.Machine) { pending = m.PendingJobs() })
	return pending
}

func (r *runner) pendingJob(key batch.Key) (pending batch.PendingJob, ok bool) {
	r.partition.state.read(func(m *batch.Machine) { pending, ok = m.PendingJob(key) })
	return pending, ok
}

// completeItem passes the result of an item to the appender, and completes the item in the schedule. The caller holds the mutex.
func (r *runner) completeItem(ctx context.Context, item *scheduler.Item, result batch.Result) {
	result.Key = item.Job.Pending.Key
	result.Index = item.Pending.Index
	r.appender.add(ctx, result)
	r.schedule.Complete(item)
}
