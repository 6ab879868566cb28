package batch

import (
	"slices"
	"time"

	"nickelline/internal/batch/deflated"
)

// ListedResult is a listed result as clients read it.
type ListedResult struct {
	Identifier string
	State      State
	Content    []byte // a block of package deflated
}

// Page is a sequence of a job's results.
type Page struct {
	Total   int // items of the job
	Results []ListedResult
	Next    int  // position after the last of Results
	Closed  bool // no further result will be listed
}

// Results returns a job's results from a position onward. Their contents have at most maxBytes before compression, but the page
// has at least one result if there is any. It reports false if there is no such job. The contents must not be changed.
func (m *Machine) Results(key Key, from int, maxBytes int) (Page, bool) {
	found := m.jobs[key]
	if found == nil || !found.submitted {
		return Page{}, false
	}
	page := Page{Total: len(found.items), Next: from, Closed: found.closed()}
	size := 0
	for position := max(from, 0); position < len(found.positions); position++ {
		listed := &found.items[found.positions[position]]
		size += deflated.Size(listed.content)
		if size > maxBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, ListedResult{Identifier: listed.Identifier, State: listed.state, Content: listed.content})
		page.Next = position + 1
	}
	return page, true
}

// Body returns the body of an item that is not listed yet, of a job that is not ended. The body must not be changed. It reports
// false if there is no such item.
func (m *Machine) Body(key Key, identifier string) ([]byte, bool) {
	found := m.jobs[key]
	if found == nil || found.ended {
		return nil, false
	}
	for i := range found.items {
		if found.items[i].Identifier == identifier && found.items[i].state == Waiting {
			return found.items[i].Body, true
		}
	}
	return nil, false
}

// Fits reports whether a job would be accepted now: either the machine has a job of that key, or the job's tokens are within what
// the tenant may have queued on its route.
func (m *Machine) Fits(o Offer) bool {
	return m.jobs[o.Key] != nil || !m.exceedsQuota(o)
}

// PendingJob is a job that has items to run.
type PendingJob struct {
	Key         Key
	Route       RouteRef
	Terms       Terms
	SubmittedAt time.Duration // by the partition's clock, see Now
	Items       []PendingItem
}

// PendingItem is an item that is not listed yet, of a job that is not ended, with its index in the job. Its body must not be
// changed.
type PendingItem struct {
	Index uint32
	Item
	// Events is the number of events in the checkpoints of the text.
	Events uint32
	// LastEvent is the id of the last of these events, empty if there are none.
	LastEvent string
	// ServerErrors is the number of attempts that are recorded as failed, see Failure.
	ServerErrors uint32
}

// PendingJob returns the items of a job that are to be run. It reports false if there are none.
func (m *Machine) PendingJob(key Key) (PendingJob, bool) {
	found := m.jobs[key]
	if found == nil || !found.submitted || found.closed() {
		return PendingJob{}, false
	}
	pending := PendingJob{Key: found.key, Route: found.route, Terms: found.terms, SubmittedAt: found.submittedAt}
	for i := range found.items {
		waiting := &found.items[i]
		if waiting.state != Waiting {
			continue
		}
		pending.Items = append(pending.Items, PendingItem{
			Index:        uint32(i),
			Item:         waiting.Item,
			Events:       waiting.checkpoints.events(),
			LastEvent:    waiting.checkpoints.lastEvent(),
			ServerErrors: waiting.serverErrors,
		})
	}
	return pending, true
}

// PendingJobs returns the jobs that have items to run, in the order in which they were submitted.
func (m *Machine) PendingJobs() []PendingJob {
	var pending []PendingJob
	for _, j := range m.jobsByOrdinal() {
		if job, ok := m.PendingJob(j.key); ok {
			pending = append(pending, job)
		}
	}
	return pending
}

// jobsByOrdinal returns all jobs in the order in which they were added.
func (m *Machine) jobsByOrdinal() []*job {
	all := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int { return int(a.ordinal) - int(b.ordinal) })
	return all
}

// Now returns the time of the partition's clock at a reading of the head. The difference of two such times is at most the real
// time between them.
func (m *Machine) Now(r ClockReading) time.Duration { return m.clock.at(r) }

// Expired returns the closed jobs whose age since their submission, by the partition's clock at a reading, is at least the
// retention time.
func (m *Machine) Expired(r ClockReading, retention time.Duration) []Key {
	var keys []Key
	now := m.clock.at(r)
	for _, candidate := range m.jobsByOrdinal() {
		if candidate.closed() && now-candidate.submittedAt >= retention {
			keys = append(keys, candidate.key)
		}
	}
	return keys
}

// Jobs returns the number of jobs that have not been dropped.
func (m *Machine) Jobs() int { return len(m.jobs) }

// QueuedTokens returns the number of tokens that a tenant has queued on a route.
func (m *Machine) QueuedTokens(tenant, route string) int64 {
	return m.queued[account{tenant: tenant, route: route}]
}
