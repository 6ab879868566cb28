package batch

// Machine is the state of the batch jobs of a partition. Its methods are not safe for concurrent use.
type Machine struct {
	observer Observer
	clock    clock
	jobs     map[Key]*job
	ordinal  uint64 // of the job that was added last
	queued   map[account]int64
}

// account identifies the tenant and the route that queued tokens are counted for.
type account struct{ tenant, route string }

type noObserver struct{}

func (noObserver) Submitted(Key) {}
func (noObserver) Listed(Key)    {}
func (noObserver) Ended(Key)     {}
func (noObserver) Restored()     {}

// New returns a machine without jobs. The observer may be nil.
func New(observer Observer) *Machine {
	if observer == nil {
		observer = noObserver{}
	}
	return &Machine{observer: observer, jobs: map[Key]*job{}, queued: map[account]int64{}}
}

// Apply applies an encoded command that was committed and returns its encoded Outcome. A command that cannot be decoded changes
// nothing.
func (m *Machine) Apply(_ uint64, encoded []byte) []byte {
	command, err := DecodeCommand(encoded)
	if err != nil {
		return EncodeOutcome(Malformed)
	}
	return EncodeOutcome(m.Execute(command))
}

// Execute applies a command. It retains no reference to the command's bodies and contents.
func (m *Machine) Execute(command *Command) Outcome {
	m.clock.advance(command.Clock)
	switch {
	case command.Submit != nil:
		return m.submit(command.Submit)
	case command.End != nil:
		m.end(*command.End)
	case command.Append != nil:
		m.append(command.Append)
	case command.Drop != nil:
		m.drop(command.Drop)
	case command.Fail != nil:
		m.fail(command.Fail)
	}
	return Done
}

func (m *Machine) submit(s *Submit) Outcome {
	known := m.jobs[s.Job.Key]
	switch {
	case known != nil && known.submitted:
		return Done
	case known != nil:
		known.fill(&s.Job)
		return Done
	}
	if m.exceedsQuota(s.Offer()) {
		return QuotaExceeded
	}
	added := m.add(s.Job.Key)
	added.fill(&s.Job)
	m.charge(added.account(), s.Job.Tokens())
	m.observer.Submitted(s.Job.Key)
	return Done
}

// exceedsQuota reports whether a job's tokens and those queued on its account together exceed the offer's MaxQueuedTokens.
func (m *Machine) exceedsQuota(o Offer) bool {
	owner := account{tenant: o.Key.Tenant, route: o.Route}
	return o.MaxQueuedTokens > 0 && m.queued[owner]+o.Tokens > o.MaxQueuedTokens
}

// add creates the entry of a job that has been neither submitted nor ended.
func (m *Machine) add(key Key) *job {
	m.ordinal++
	added := &job{key: key, ordinal: m.ordinal, submittedAt: m.clock.now}
	m.jobs[key] = added
	return added
}

// charge adds tokens, which may be negative, to those that are queued on an account.
func (m *Machine) charge(owner account, tokens int64) {
	sum := m.queued[owner] + tokens
	if sum == 0 {
		delete(m.queued, owner)
		return
	}
	m.queued[owner] = sum
}

// append records results in order, and notifies the observer once for each sequence of results of the same job.
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

// record adds a result or a checkpoint, unless the job is ended, the item is listed, or the text neither begins anew nor
// continues a checkpoint of the item. Checkpoints after the one that the text continues are removed. It reports whether it
// listed the item.
func (m *Machine) record(r *Result) bool {
	waiting := m.waitingItem(r.Key, r.Index)
	if waiting == nil || !waiting.checkpoints.truncate(r.From) {
		return false
	}
	if r.State == Waiting {
		waiting.checkpoints.add(r)
		return false
	}
	m.list(m.jobs[r.Key], r)
	return true
}

// fail records the failures of items that are not listed yet. A record that comes late does not lower the number.
func (m *Machine) fail(failures []Failure) {
	for _, f := range failures {
		if failed := m.waitingItem(f.Key, f.Index); failed != nil {
			failed.serverErrors = max(failed.serverErrors, f.ServerErrors)
		}
	}
}

// waitingItem returns an item that is to be run, or nil if the job is unknown or ended, or the item is listed.
func (m *Machine) waitingItem(key Key, index uint32) *item {
	target := m.jobs[key]
	if target == nil || !target.submitted || target.ended || int(index) >= len(target.items) {
		return nil
	}
	if found := &target.items[index]; found.state == Waiting {
		return found
	}
	return nil
}

// list adds a result at the next position of its job.
func (m *Machine) list(target *job, r *Result) {
	listed := &target.items[r.Index]
	listed.state = r.State
	if r.State == Completed {
		listed.content = listed.checkpoints.join(r.Content)
	}
	listed.release()
	target.positions = append(target.positions, r.Index)
	m.charge(target.account(), -listed.Tokens)
}

// end ends a job. A job that has not been submitted gets an entry, so that it does not run if it is submitted later.
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

// drop removes those of the jobs that are closed.
func (m *Machine) drop(keys []Key) {
	for _, key := range keys {
		if dropped := m.jobs[key]; dropped != nil && dropped.closed() {
			delete(m.jobs, key)
		}
	}
}
