package batch

import "time"

// Machine is the state of a partition. Its methods are not safe for concurrent use.
type Machine struct {
	observer Observer
	clock    clock
	jobs     map[Key]*job
	ordinal  uint64 // of the job that was taken last
	queued   map[account]int64
}

// account is what waiting tokens are counted by.
type account struct{ tenant, route string }

// job is a job and what became of it.
type job struct {
	key       Key
	route     string
	host      string
	ordinal   uint64 // jobs are numbered in the order in which they were taken
	born      time.Duration
	taken     bool // false: only its end has been seen
	ended     bool
	items     []item
	positions []uint32 // index of the item at each position
}

// item is an item and, once it is listed, its result. Path, headers, body and checkpoints are dropped then.
type item struct {
	Item
	state       State
	content     []byte
	checkpoints checkpoints
}

func (j *job) account() account { return account{tenant: j.key.Tenant, route: j.route} }

// closed tells that nothing of the job will run or be listed any more.
func (j *job) closed() bool { return j.ended || j.taken && len(j.positions) == len(j.items) }

type noObserver struct{}

func (noObserver) Submitted(Key) {}
func (noObserver) Listed(Key)    {}
func (noObserver) Ended(Key)     {}
func (noObserver) Restored()     {}

// New makes an empty partition. The observer may be nil.
func New(observer Observer) *Machine {
	if observer == nil {
		observer = noObserver{}
	}
	return &Machine{observer: observer, jobs: map[Key]*job{}, queued: map[account]int64{}}
}

// Apply applies a committed command and returns its encoded Outcome.
func (m *Machine) Apply(_ uint64, encoded []byte) []byte {
	command, err := DecodeCommand(encoded)
	if err != nil {
		return EncodeOutcome(Malformed)
	}
	return EncodeOutcome(m.Execute(command))
}

// Execute applies a command. It keeps no reference to the command's bodies and contents.
func (m *Machine) Execute(command *Command) Outcome {
	m.clock.advance(command.Clock)
	switch {
	case command.Submit != nil:
		return m.take(command.Submit)
	case command.End != nil:
		m.end(*command.End)
	case command.Append != nil:
		m.append(command.Append)
	case command.Drop != nil:
		m.drop(command.Drop)
	}
	return Done
}

func (m *Machine) take(t *Submit) Outcome {
	known := m.jobs[t.Job.Key]
	switch {
	case known != nil && known.taken:
		return Done
	case known != nil:
		known.fill(&t.Job)
		return Done
	}
	if m.exceeds(t.Offer()) {
		return QuotaExceeded
	}
	taken := m.add(t.Job.Key)
	taken.fill(&t.Job)
	m.charge(taken.account(), t.Job.Tokens())
	m.observer.Submitted(t.Job.Key)
	return Done
}

// exceeds tells whether a job's tokens are more than may wait, beside those that do.
func (m *Machine) exceeds(o Offer) bool {
	owner := account{tenant: o.Key.Tenant, route: o.Route}
	return o.MaxQueuedTokens > 0 && m.queued[owner]+o.Tokens > o.MaxQueuedTokens
}

// add enters a job that has been neither taken nor ended.
func (m *Machine) add(key Key) *job {
	m.ordinal++
	added := &job{key: key, ordinal: m.ordinal, born: m.clock.now}
	m.jobs[key] = added
	return added
}

// fill copies a submission into the job. Of one that was ended before it was taken, only what reads show is kept.
func (j *job) fill(submitted *Job) {
	j.taken = true
	j.route = submitted.Route
	j.host = submitted.Host
	j.items = make([]item, len(submitted.Items))
	for i := range submitted.Items {
		j.items[i].Item = submitted.Items[i]
		j.items[i].Body = copied(submitted.Items[i].Body)
		if j.ended {
			j.items[i].release()
		}
	}
}

// release drops what only a run of the item needs.
func (i *item) release() {
	i.Path = ""
	i.Headers = nil
	i.Body = nil
	i.checkpoints = nil
}

func (m *Machine) charge(owner account, tokens int64) {
	left := m.queued[owner] + tokens
	if left == 0 {
		delete(m.queued, owner)
		return
	}
	m.queued[owner] = left
}

func (m *Machine) append(results []Result) {
	listed := false
	for i := range results {
		listed = m.record(&results[i]) || listed
		if i+1 == len(results) || results[i+1].Key != results[i].Key {
			if listed {
				m.observer.Listed(results[i].Key)
			}
			listed = false
		}
	}
}

// record takes a result or a checkpoint, unless the job is over or the item is listed. It tells whether it listed the item.
func (m *Machine) record(r *Result) bool {
	owner := m.jobs[r.Key]
	if owner == nil || !owner.taken || owner.ended || int(r.Index) >= len(owner.items) {
		return false
	}
	waiting := &owner.items[r.Index]
	if waiting.state != Waiting || !waiting.checkpoints.truncate(r.From) {
		return false
	}
	if r.State == Waiting {
		waiting.checkpoints.add(r)
		return false
	}
	m.list(owner, r)
	return true
}

// list gives a result the next position of its job.
func (m *Machine) list(owner *job, r *Result) {
	listed := &owner.items[r.Index]
	listed.state = r.State
	if r.State == Completed {
		listed.content = listed.checkpoints.whole(r.Content)
	}
	listed.release()
	owner.positions = append(owner.positions, r.Index)
	m.charge(owner.account(), -listed.Tokens)
}

// end ends a job. One that has not been taken is marked, so that it does not run if it is taken late.
func (m *Machine) end(key Key) {
	ended := m.jobs[key]
	if ended == nil {
		ended = m.add(key)
	}
	if ended.ended {
		return
	}
	ended.ended = true
	for i := range ended.items {
		if ended.items[i].state == Waiting {
			m.charge(ended.account(), -ended.items[i].Tokens)
			ended.items[i].release()
		}
	}
	m.observer.Ended(key)
}

func (m *Machine) drop(keys []Key) {
	for _, key := range keys {
		if dropped := m.jobs[key]; dropped != nil && dropped.closed() {
			delete(m.jobs, key)
		}
	}
}
