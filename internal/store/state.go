package store

import (
	"sync"

	"nickelline/internal/batch"
)

// stateListener is notified of changes after they are applied, without the lock of the state. Its methods must not block.
type stateListener interface {
	// jobAdded is called when a job was submitted, whose items wait to be run.
	jobAdded(batch.Key)
	// jobEnded is called when a job was ended: none of its items may run any longer.
	jobEnded(batch.Key)
	// stateRestored is called when the whole state was replaced by a snapshot.
	stateRestored()
}

// state is the state machine of a partition. The chain applies committed commands to it, while other goroutines read it. It notifies
// one listener, and wakes the readers that wait for results of a job. It is safe for concurrent use.
type state struct {
	mutex    sync.RWMutex
	machine  *batch.Machine
	changes  changes                     // since the last notification
	watchers map[batch.Key]chan struct{} // closed when the job changes
	listener stateListener
}

// changes are the jobs that one command changed.
type changes struct {
	added    []batch.Key
	listed   []batch.Key // jobs with new results
	ended    []batch.Key
	restored bool
}

func newState() *state {
	s := &state{watchers: map[batch.Key]chan struct{}{}}
	s.machine = batch.New((*changeCollector)(s))
	return s
}

// changeCollector is the machine's observer: it collects changes while the machine is locked.
type changeCollector state

func (c *changeCollector) Submitted(key batch.Key) { c.changes.added = append(c.changes.added, key) }
func (c *changeCollector) Listed(key batch.Key)    { c.changes.listed = append(c.changes.listed, key) }
func (c *changeCollector) Ended(key batch.Key)     { c.changes.ended = append(c.changes.ended, key) }
func (c *changeCollector) Restored()               { c.changes.restored = true }

// Apply implements chain.StateMachine.
func (s *state) Apply(sequence uint64, command []byte) []byte {
	s.mutex.Lock()
	result := s.machine.Apply(sequence, command)
	s.notify()
	return result
}

// Snapshot implements chain.StateMachine.
func (s *state) Snapshot() []byte {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.machine.Snapshot()
}

// Restore implements chain.StateMachine.
func (s *state) Restore(snapshot []byte) error {
	s.mutex.Lock()
	err := s.machine.Restore(snapshot)
	s.notify()
	return err
}

// notify wakes the watchers of the changed jobs, unlocks the state, and notifies the listener. The caller holds the lock.
func (s *state) notify() {
	changed := s.changes
	s.changes = changes{}
	s.wakeWatchers(changed)
	listener := s.listener
	s.mutex.Unlock()
	if listener == nil {
		return
	}
	if changed.restored {
		listener.stateRestored()
	}
	for _, key := range changed.added {
		listener.jobAdded(key)
	}
	for _, key := range changed.ended {
		listener.jobEnded(key)
	}
}

func (s *state) wakeWatchers(changed changes) {
	if changed.restored {
		for key := range s.watchers {
			s.wakeWatcher(key)
		}
	}
	for _, key := range changed.listed {
		s.wakeWatcher(key)
	}
	for _, key := range changed.ended {
		s.wakeWatcher(key)
	}
}

func (s *state) wakeWatcher(key batch.Key) {
	if watcher, ok := s.watchers[key]; ok {
		close(watcher)
		delete(s.watchers, key)
	}
}

// setListener replaces the listener; nil removes it. Changes that are being applied may still be reported to the former listener.
func (s *state) setListener(l stateListener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener = l
}

// read calls a function that reads the machine. No command is applied during the call.
func (s *state) read(f func(*batch.Machine)) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	f(s.machine)
}

// results reads a page of a job's results, and reports whether the job is known. If the page is empty and the job may get further
// results, changed is a channel that is closed when the job changes; otherwise it is nil.
func (s *state) results(key batch.Key, from, maxBytes int) (page batch.Page, known bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page, known = s.machine.Results(key, from, maxBytes)
	if !known || page.Closed || len(page.Results) > 0 {
		return page, known, nil
	}
	watcher, ok := s.watchers[key]
	if !ok {
		watcher = make(chan struct{})
		s.watchers[key] = watcher
	}
	return page, known, watcher
}

// body reads the body of an item that is still kept.
func (s *state) body(key batch.Key, identifier string) (body []byte, ok bool) {
	s.read(func(m *batch.Machine) { body, ok = m.Body(key, identifier) })
	return body, ok
}
