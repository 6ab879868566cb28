package scheduler

import "slices"

// queue orders the waiting items of a partition: tenants are served round-robin, and a tenant's jobs in the order in which they
// were submitted. Started items go first: they have the least left to do, so completing them soon reduces the tenant's queued
// tokens.
type queue struct {
	tenants []*tenantQueue
	next    int // index of the tenant to serve next
	waiting int // total number of waiting items
}

type tenantQueue struct {
	name string
	jobs []*Job
}

// add appends a job after the other jobs of its tenant.
func (q *queue) add(j *Job) {
	owner := q.tenant(j.Pending.Key.Tenant)
	owner.jobs = append(owner.jobs, j)
	q.waiting += len(j.waiting)
}

func (q *queue) tenant(name string) *tenantQueue {
	for _, known := range q.tenants {
		if known.name == name {
			return known
		}
	}
	added := &tenantQueue{name: name}
	q.tenants = append(q.tenants, added)
	return added
}

// pushFront puts an item before the other waiting items of its job.
func (q *queue) pushFront(item *Item) {
	item.Job.waiting = slices.Insert(item.Job.waiting, 0, item)
	q.waiting++
}

// pop removes and returns the next item of a job for which eligible reports true. It returns nil if there is none.
func (q *queue) pop(eligible func(*Job) bool) *Item {
	for range q.tenants {
		owner := q.tenants[q.next%len(q.tenants)]
		q.next = (q.next + 1) % len(q.tenants)
		if j := owner.nextJob(eligible); j != nil {
			return q.popFrom(j)
		}
	}
	return nil
}

// nextJob returns the first eligible job whose next item has been started, or else the first eligible job.
func (o *tenantQueue) nextJob(eligible func(*Job) bool) *Job {
	var first *Job
	for _, j := range o.jobs {
		if len(j.waiting) == 0 || !eligible(j) {
			continue
		}
		if j.waiting[0].started() {
			return j
		}
		if first == nil {
			first = j
		}
	}
	return first
}

// mostUrgent returns the most urgent job that has waiting items of a route, or nil if there is none.
func (q *queue) mostUrgent(route string) *Job {
	var found *Job
	for _, owner := range q.tenants {
		for _, j := range owner.jobs {
			if len(j.waiting) == 0 || j.Pending.Route.Name != route {
				continue
			}
			if found == nil || j.Urgency.before(found.Urgency) {
				found = j
			}
		}
	}
	return found
}

func (q *queue) popFrom(j *Job) *Item {
	item := j.waiting[0]
	j.waiting = j.waiting[1:]
	q.waiting--
	return item
}

// takeWaiting removes and returns all waiting items of a job. The job itself stays.
func (q *queue) takeWaiting(j *Job) []*Item {
	taken := j.waiting
	j.waiting = nil
	q.waiting -= len(taken)
	return taken
}

// remove removes a job with all of its waiting items.
func (q *queue) remove(j *Job) {
	for i, owner := range q.tenants {
		at := slices.Index(owner.jobs, j)
		if at < 0 {
			continue
		}
		owner.jobs = slices.Delete(owner.jobs, at, at+1)
		q.takeWaiting(j)
		if len(owner.jobs) == 0 {
			q.removeTenant(i)
		}
		return
	}
}

// removeTenant removes a tenant, and keeps the round-robin position of the others.
func (q *queue) removeTenant(i int) {
	q.tenants = slices.Delete(q.tenants, i, i+1)
	if q.next > i {
		q.next--
	}
	if q.next >= len(q.tenants) {
		q.next = 0
	}
}
