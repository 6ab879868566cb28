package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"nickelline/internal/fault"
)

// fakeReplica applies commands to a machine at once, unless an error is injected.
type fakeReplica struct {
	mutex    sync.Mutex
	machine  *Machine
	sequence uint64
	// faults are the errors of the next calls, one for each call; a call with nil succeeds.
	faults []error
	// applyDespiteFaults makes the replica apply also the commands whose callers get an error.
	applyDespiteFaults bool
	// always is the error of all calls after faults is empty.
	always error
	calls  int
}

func (f *fakeReplica) nextFault() error {
	f.calls++
	if len(f.faults) == 0 {
		return f.always
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	return next
}

// fail makes all further calls return an error.
func (f *fakeReplica) fail(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.always = err
}

func (f *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	err := f.nextFault()
	if err != nil && !f.applyDespiteFaults {
		return nil, err
	}
	f.sequence++
	return f.machine.Apply(f.sequence, command), err
}

func (f *fakeReplica) Barrier(context.Context) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nextFault()
}

// fakeStores is a fixed list of stores.
type fakeStores struct {
	list     []Store
	complete bool
}

func (f fakeStores) Stores() (known, usable []Store, isComplete bool) {
	return f.list, f.list, f.complete
}

// testCallTimeout is the call timeout of the services under test.
const testCallTimeout = 100 * time.Millisecond

var (
	errNotReady = fault.New(fault.NotReady, "no head")
	errUnclear  = fault.New(fault.Unclear, "no answer")
	threeStores = fakeStores{list: []Store{{"a", 1}, {"b", 2}, {"c", 3}}, complete: true}
)

func newTestService(f *fakeReplica) *service {
	f.machine = NewMachine()
	s := newService(f, f.machine, threeStores, 2)
	s.retryInterval = time.Microsecond
	s.callTimeout = testCallTimeout
	return s
}

func checkKind(t *testing.T, err error, want fault.Kind) {
	t.Helper()
	if err == nil || fault.KindOf(err) != want {
		t.Errorf("got kind %d (%v), want %d", fault.KindOf(err), err, want)
	}
}
