package scheduler

import (
	"slices"

	"nickelline/internal/batch"
	"nickelline/internal/store/itemtext"
)

// Item is an unfinished item, with the text that its attempts have produced so far. While an attempt of the item runs, only that
// attempt accesses the fields below Pending; otherwise they are guarded like the schedule.
type Item struct {
	Job     *Job
	Pending batch.PendingItem
	Text    itemtext.Text
	// AvoidBackend is the id of the backend of the last attempt if that attempt failed, and empty otherwise.
	AvoidBackend string

	serverErrors            int // confirmed internal server errors, also those of former heads
	unconfirmedServerErrors int // those of this head that are not confirmed
	rejected                bool
	unconfirmedRejections   int // by backends that this head has sent the item to
	emptyAttempts           int // consecutive attempts that produced no event
}

// started reports whether earlier attempts have produced a part of the text.
func (i *Item) started() bool { return i.Text.Events() > 0 }

// Job is a job with unfinished items.
type Job struct {
	Pending batch.PendingJob
	Urgency Urgency

	waiting   []*Item // in the order in which they run
	remaining int     // unfinished items: waiting, delayed or running
}

func newJob(pending batch.PendingJob) *Job {
	j := &Job{Pending: pending, remaining: len(pending.Items)}
	for _, item := range pending.Items {
		j.waiting = append(j.waiting, &Item{
			Job:     j,
			Pending: item,
			Text:    itemtext.FromCheckpoint(item.Events, item.LastEvent),

			serverErrors:  int(item.ServerErrors),
			emptyAttempts: int(item.ServerErrors),
		})
	}
	slices.SortStableFunc(j.waiting, startedFirst)
	return j
}

func startedFirst(a, b *Item) int {
	switch {
	case a.started() == b.started():
		return 0
	case a.started():
		return -1
	}
	return 1
}
