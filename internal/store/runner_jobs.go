package store

import (
	"context"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/store/scheduler"
)

// jobAdded implements stateListener: the loop takes the job into the schedule.
func (r *runner) jobAdded(key batch.Key) {
	r.mutex.Lock()
	r.added = append(r.added, key)
	r.mutex.Unlock()
	r.Wake()
}

// stateRestored implements stateListener: the loop takes all open jobs into the schedule.
func (r *runner) stateRestored() {
	r.mutex.Lock()
	r.reload = true
	r.mutex.Unlock()
	r.Wake()
}

// jobEnded implements stateListener: it cancels the running items of a job, and forgets the job.
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

// updateSchedule brings new jobs and items whose delay is over into the schedule. It reports whether there are new jobs.
func (r *runner) updateSchedule(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.schedule.Len()
	if r.reload {
		r.reload = false
		r.added = nil
		for _, open := range r.openJobs() {
			r.schedule.Add(open)
		}
	}
	for _, key := range r.added {
		if open, ok := r.openJob(key); ok {
			r.schedule.Add(open)
		}
	}
	r.added = nil
	r.schedule.ReleaseDelayed(now)
	return r.schedule.Len() > known
}

func (r *runner) openJobs() (open []batch.PendingJob) {
	r.partition.state.read(func(m *batch.Machine) { open = m.PendingJobs() })
	return open
}

func (r *runner) openJob(key batch.Key) (open batch.PendingJob, ok bool) {
	r.partition.state.read(func(m *batch.Machine) { open, ok = m.PendingJob(key) })
	return open, ok
}

// completeItem has the result of an item committed, and the schedule forget the item. The caller holds the mutex.
func (r *runner) completeItem(ctx context.Context, item *scheduler.Item, result batch.Result) {
	result.Key = item.Job.Open.Key
	result.Index = item.Open.Index
	r.appender.add(ctx, result)
	r.schedule.Complete(item)
}

// abandonItem completes an item without a text.
func (r *runner) abandonItem(ctx context.Context, item *scheduler.Item) {
	r.completeItem(ctx, item, batch.Result{State: batch.Abandoned})
}
