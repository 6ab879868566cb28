package scheduler

import (
	"slices"

	"nickelline/internal/batch"
	"nickelline/internal/store/itemtext"
)

// Item is an item that has not ended, with what its attempts have brought so far. While an attempt runs, that alone uses the
// fields below Pending; otherwise they are guarded like the schedule.
type Item struct {
	Job     *Job
	Pending batch.PendingItem
	Text    itemtext.Text
	// AvoidBackend is the id of the backend of the last attempt, if that failed.
	AvoidBackend string

	serverErrors  int // attempts that were answered by an internal server error
	emptyAttempts int // attempts in a row that brought nothing
}

// begun reports whether an earlier attempt has brought a part of the text.
func (i *Item) begun() bool { return i.Text.Events() > 0 }

// Job is a job that has items which have not ended.
type Job struct {
	Pending batch.PendingJob
	Urgency Urgency

	waiting   []*Item // in the order in which they are to run
	remaining int     // items that have not ended: waiting, delayed or running
}

func newJob(pending batch.PendingJob) *Job {
	j := &Job{Pending: pending, remaining: len(pending.Items)}
	for _, item := range pending.Items {
		j.waiting = append(j.waiting, &Item{
			Job:     j,
			Pending: item,
			Text:    itemtext.FromCheckpoint(item.Events, item.LastEvent),
		})
	}
	slices.SortStableFunc(j.waiting, begunFirst)
	return j
}

func begunFirst(a, b *Item) int {
	switch {
	case a.begun() == b.begun():
		return 0
	case a.begun():
		return -1
	}
	return 1
}
