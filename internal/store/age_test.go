package store

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
	"nickelline/internal/view"
)

// sharedLog is the log of a partition with several stores, of which one is the head. It applies each command to the states of all.
type sharedLog struct {
	stores []*partition

	mutex sync.Mutex
	head  int // index of the head
	term  uint64
}

func newSharedLog(stores int) *sharedLog {
	log := &sharedLog{term: 1}
	for i := range stores {
		p := &partition{number: 1, state: newState(), clock: newHeadClock(), readConfirmationAge: time.Second}
		p.replica = &sharedReplica{log: log, store: i}
		log.stores = append(log.stores, p)
	}
	return log
}

// setHead begins a term of another head.
func (l *sharedLog) setHead(store int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.head = store
	l.term++
}

// current returns the index of the head and its term.
func (l *sharedLog) current() (head int, term uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.head, l.term
}

func (l *sharedLog) apply(command []byte) (result []byte) {
	for _, p := range l.stores {
		result = p.state.Apply(0, command)
	}
	return result
}

// tick commits a command of the head that only advances the clock.
func (l *sharedLog) tick(t *testing.T) {
	t.Helper()
	head, term := l.current()
	if _, err := l.stores[head].proposeInTerm(t.Context(), term, &batch.Command{}); err != nil {
		t.Fatal(err)
	}
}

// sharedReplica is a store's replica of a sharedLog.
type sharedReplica struct {
	log   *sharedLog
	store int
	// delay is how long commands take until they reach the head.
	delay time.Duration
}

// ProposeInTerm implements replica.
func (r *sharedReplica) ProposeInTerm(_ context.Context, term uint64, command []byte) ([]byte, error) {
	time.Sleep(r.delay)
	if term == 0 || term != r.HeadTerm() {
		return nil, fault.New(fault.NotReady, "the term is over")
	}
	return r.log.apply(command), nil
}

func (r *sharedReplica) HeadTerm() uint64 {
	head, term := r.log.current()
	if head != r.store {
		return 0
	}
	return term
}

func (r *sharedReplica) Barrier(context.Context) error { return nil }
func (r *sharedReplica) IsHead() bool                  { return r.HeadTerm() != 0 }

func (r *sharedReplica) View() view.View {
	_, term := r.log.current()
	return view.View{Chain: 1, Epoch: term}
}

// TestAgeIsNotOverstatedByALateCommand guards against items that are given up before their retention, because a command that a store
// began as head, and that was committed after another one had become the head, makes the clock count the time of that one twice.
func TestAgeIsNotOverstatedByALateCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSharedLog(2)
		first := log.stores[0]
		job := testJob(testKey(1), 1, 1)
		if _, err := first.submit(t.Context(), &batchcall.SubmitRequest{Partition: 1, Job: job}); err != nil {
			t.Fatal(err)
		}
		submitted := time.Now()
		time.Sleep(10 * time.Second)
		log.tick(t)
		first.replica.(*sharedReplica).delay = 2900 * time.Millisecond
		late := make(chan struct{})
		go func() {
			defer close(late)
			key := testKey(2)
			_, _ = first.propose(t.Context(), &batch.Command{End: &key}) // refused or committed late
		}()
		synctest.Wait()
		log.setHead(1)
		log.tick(t)
		time.Sleep(2800 * time.Millisecond)
		log.tick(t)
		<-late
		first.replica.(*sharedReplica).delay = 0
		log.setHead(0)
		time.Sleep(time.Second)
		log.tick(t)
		var age time.Duration
		first.state.read(func(m *batch.Machine) { age = m.Now(first.clock.reading(time.Now())) - m.PendingJobs()[0].SubmittedAt })
		if realAge := time.Since(submitted); age > realAge {
			t.Errorf("age of the job by the clock of the partition: got %v, want at most %v", age, realAge)
		}
	})
}
