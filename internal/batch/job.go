package batch

import "time"

// job is the state of a job.
type job struct {
	key         Key
	route       RouteRef
	terms       Terms
	ordinal     uint64 // jobs are numbered in the order in which they were added
	submittedAt time.Duration
	submitted   bool // false if only its end has been committed
	ended       bool
	items       []item
	positions   []uint32 // index of the item at each position, in the order of listing
}

// item is the state of an item: its request and, once it is listed, its result. Its path, headers, body and checkpoints are
// released when it is listed or its job is ended.
type item struct {
	Item
	state        State
	content      []byte
	checkpoints  checkpoints
	serverErrors uint32 // see Failure
}

func (j *job) account() account { return account{tenant: j.key.Tenant, route: j.route.Name} }

// closed reports whether the job is ended or all of its items are listed, so that none will run or be listed any more.
func (j *job) closed() bool { return j.ended || j.submitted && len(j.positions) == len(j.items) }

// fill sets the fields of the job from its submission and copies the bodies. A job that was ended before it was submitted keeps
// only what reads return.
func (j *job) fill(submitted *Job) {
	j.submitted = true
	j.route = submitted.Route
	j.terms = submitted.Terms
	j.items = make([]item, len(submitted.Items))
	for i := range submitted.Items {
		j.items[i].Item = submitted.Items[i]
		j.items[i].Body = clone(submitted.Items[i].Body)
		if j.ended {
			j.items[i].release()
		}
	}
}

// release clears the fields that only a run of the item needs.
func (i *item) release() {
	i.Path = ""
	i.Headers = nil
	i.Body = nil
	i.checkpoints = nil
	i.serverErrors = 0
}
