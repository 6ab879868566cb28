package batch

import (
	"slices"
	"time"

	"nickelline/internal/batch/deflated"
)

// ListedResult is a result as it is shown to clients.
type ListedResult struct {
	Identifier string
	State      State
	Content    []byte // a block of package deflated
}

// Page is a run of a job's results.
type Page struct {
	Total   int // items of the job
	Results []ListedResult
	Next    int  // position after the last of Results
	Closed  bool // no further result will be listed
}

// Results reads a job's results from a position onward, up to a number of bytes of the original contents but one at least if
// there is one. It is false if there is no such job. Contents must not be changed.
func (m *Machine) Results(key Key, from int, maxBytes int) (Page, bool) {
	found := m.jobs[key]
	if found == nil || !found.taken {
		return Page{}, false
	}
	page := Page{Total: len(found.items), Next: from, Closed: found.closed()}
	bytes := 0
	for position := max(from, 0); position < len(found.positions); position++ {
		listed := &found.items[found.positions[position]]
		bytes += deflated.Size(listed.content)
		if bytes > maxBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, ListedResult{Identifier: listed.Identifier, State: listed.state, Content: listed.content})
		page.Next = position + 1
	}
	return page, true
}

// Body reads the body of an item that is not listed yet, of a job that is not ended.
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

// Fits tells whether a job would be taken now: it was before, or its tokens are within what the tenant may have waiting on
// its route.
func (m *Machine) Fits(o Offer) bool {
	return m.jobs[o.Key] != nil || !m.exceeds(o)
}

// PendingJob is a job that has items to run.
type PendingJob struct {
	Key         Key
	Route       string
	Host        string
	SubmittedAt time.Duration // by the partition's clock, see Now
	Items       []PendingItem
}

// PendingItem is an item that waits, and its index in its job. Its body must not be changed.
type PendingItem struct {
	Index uint32
	Item
	// Events is how many events of the text the checkpoints hold, and LastEvent the id of the last one.
	Events    uint32
	LastEvent string
}

// PendingJob lists what is left to run of a job. It is false if there is nothing.
func (m *Machine) PendingJob(key Key) (PendingJob, bool) {
	found := m.jobs[key]
	if found == nil || !found.taken || found.closed() {
		return PendingJob{}, false
	}
	open := PendingJob{Key: found.key, Route: found.route, Host: found.host, SubmittedAt: found.born}
	for i := range found.items {
		waiting := &found.items[i]
		if waiting.state != Waiting {
			continue
		}
		open.Items = append(open.Items, PendingItem{
			Index:     uint32(i),
			Item:      waiting.Item,
			Events:    waiting.checkpoints.events(),
			LastEvent: waiting.checkpoints.lastEvent(),
		})
	}
	return open, true
}

// PendingJobs lists the jobs that have items to run, in the order in which they were taken.
func (m *Machine) PendingJobs() []PendingJob {
	var open []PendingJob
	for _, ordered := range m.ordered() {
		if job, ok := m.PendingJob(ordered.key); ok {
			open = append(open, job)
		}
	}
	return open
}

// ordered lists all jobs in the order in which they were taken.
func (m *Machine) ordered() []*job {
	all := make([]*job, 0, len(m.jobs))
	for _, one := range m.jobs {
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b *job) int { return int(a.ordinal) - int(b.ordinal) })
	return all
}

// Now is what the partition's clock shows at a reading of the head: what passed between two of its values is at most what
// really passed.
func (m *Machine) Now(r ClockReading) time.Duration { return m.clock.at(r) }

// Expired lists the closed jobs that are as old as a bound, by the partition's clock at a reading.
func (m *Machine) Expired(r ClockReading, bound time.Duration) []Key {
	var keys []Key
	now := m.clock.at(r)
	for _, candidate := range m.ordered() {
		if candidate.closed() && now-candidate.born >= bound {
			keys = append(keys, candidate.key)
		}
	}
	return keys
}

// Jobs is the number of jobs that are kept.
func (m *Machine) Jobs() int { return len(m.jobs) }

// QueuedTokens is the number of tokens that a tenant has waiting on a route.
func (m *Machine) QueuedTokens(tenant, route string) int64 {
	return m.queued[account{tenant: tenant, route: route}]
}
