package control

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"nickelline/internal/fault"
)

// fakeReplica applies commands at once to a machine, unless a fault is due.
type fakeReplica struct {
	mutex    sync.Mutex
	machine  *Machine
	sequence uint64
	// faults are given to the next calls, one each; nil lets a call pass.
	faults []error
	// appliedAnyway has the commands applied whose callers get a fault.
	appliedAnyway bool
	// always is the fault of all calls once faults is empty.
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

// fail lets all further calls end with an error.
func (f *fakeReplica) fail(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.always = err
}

func (f *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	err := f.nextFault()
	if err != nil && !f.appliedAnyway {
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
	list  []Store
	whole bool
}

func (f fakeStores) Stores() (known, remaining []Store, whole bool) { return f.list, f.list, f.whole }

// testCallTime is how long the calls of a test are tried.
const testCallTime = 100 * time.Millisecond

var (
	errNotReady = fault.New(fault.NotReady, "no head")
	errUnclear  = fault.New(fault.Unclear, "no answer")
	threeStores = fakeStores{list: []Store{{"a", 1}, {"b", 2}, {"c", 3}}, whole: true}
)

func newTestService(f *fakeReplica) *service {
	f.machine = NewMachine()
	s := newService(f, f.machine, threeStores, 2)
	s.retryInterval = time.Microsecond
	s.callTimeout = testCallTime
	return s
}

func wantKind(t *testing.T, err error, want fault.Kind) {
	t.Helper()
	if err == nil || fault.KindOf(err) != want {
		t.Errorf("kind %d in place of %d: %v", fault.KindOf(err), want, err)
	}
}

func TestConfigureTriesAgain(t *testing.T) {
	f := &fakeReplica{faults: []error{errNotReady, errUnclear, errNotReady}}
	s := newTestService(f)
	result, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	if err != nil || result.Outcome != Accepted || result.Version != 3 || f.calls != 4 {
		t.Errorf("%+v, %v after %d calls", result, err, f.calls)
	}
}

func TestConfigureAfterALostAnswer(t *testing.T) {
	f := &fakeReplica{faults: []error{errUnclear}, appliedAnyway: true}
	s := newTestService(f)
	result, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	if err != nil || result.Outcome != Repeated || result.Version != 3 {
		t.Errorf("%+v, %v", result, err)
	}
}

func TestConfigureWithoutAChain(t *testing.T) {
	s := newTestService(&fakeReplica{always: errNotReady})
	_, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	wantKind(t, err, fault.NotReady)
	s = newTestService(&fakeReplica{faults: []error{errUnclear}, always: errNotReady})
	_, err = s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	wantKind(t, err, fault.Unclear)
}

func TestConfigureAcknowledgesWithoutAChain(t *testing.T) {
	f := &fakeReplica{}
	s := newTestService(f)
	order := put(0, documentText(3, 10)).Configure
	if _, err := s.Configure(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Configure(t.Context(), put(3, documentText(4, 10)).Configure); err != nil {
		t.Fatal(err)
	}
	f.fail(errNotReady)
	result, err := s.Configure(t.Context(), order)
	if err != nil || result.Outcome != Repeated {
		t.Errorf("%+v, %v", result, err)
	}
}

func TestInvalidOrdersAreNotProposed(t *testing.T) {
	f := &fakeReplica{always: errNotReady}
	s := newTestService(f)
	for _, order := range []*Command{
		put(0, documentText(3, 0)), put(0, documentText(3, 10)[1:]), put(3, documentText(3, 10)), put(4, documentText(3, 10)),
		patch(3, patchText(3, 10)), patch(3, patchText(4, 10)[1:]), put(0, ""),
	} {
		_, err := s.Configure(t.Context(), order.Configure)
		wantKind(t, err, fault.InvalidConfiguration)
	}
	if f.calls != 0 {
		t.Errorf("%d calls", f.calls)
	}
}

func TestRefusalsKeepTheirKind(t *testing.T) {
	s := newTestService(&fakeReplica{})
	if _, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure); err != nil {
		t.Fatal(err)
	}
	_, err := s.Configure(t.Context(), put(0, documentText(3, 11)).Configure)
	wantKind(t, err, fault.VersionConflict)
	_, err = s.Configure(t.Context(), patch(3, `{"version":4,"remove":{"services":["s"]}}`).Configure)
	wantKind(t, err, fault.InvalidConfiguration)
}

func TestReadNeedsABarrier(t *testing.T) {
	f := &fakeReplica{faults: []error{errNotReady, errUnclear}}
	s := newTestService(f)
	if _, err := s.Read(t.Context()); err != nil || f.calls != 3 {
		t.Errorf("%v after %d calls", err, f.calls)
	}
	f.fail(errUnclear)
	_, err := s.Read(t.Context())
	wantKind(t, err, fault.NotReady)
}

func TestRetire(t *testing.T) {
	f := &fakeReplica{}
	s := newTestService(f)
	_, err := s.Retire(t.Context(), "x", time.Second)
	wantKind(t, err, fault.NotFound)
	_, err = s.Retirement(t.Context(), "a")
	wantKind(t, err, fault.NotFound)
	result, err := s.Retire(t.Context(), "a", time.Second)
	if err != nil || result.Outcome != Accepted {
		t.Fatalf("%+v, %v", result, err)
	}
	_, err = s.Retire(t.Context(), "b", time.Second)
	wantKind(t, err, fault.Conflict)
	retirement, err := s.Retirement(t.Context(), "a")
	if err != nil || retirement.Completed || retirement.Store != (Store{"a", 1}) {
		t.Errorf("%+v, %v", retirement, err)
	}
	s.stores = fakeStores{list: threeStores.list[1:], whole: true}
	if result, err := s.Retire(t.Context(), "a", time.Second); err != nil || result.Outcome != Repeated {
		t.Errorf("a repeated order for a machine that is gone: %+v, %v", result, err)
	}
}

func TestRetireOnANewNode(t *testing.T) {
	s := newTestService(&fakeReplica{})
	s.stores = fakeStores{}
	_, err := s.Retire(t.Context(), "a", time.Second)
	wantKind(t, err, fault.NotReady)
}

func TestSizeAllowance(t *testing.T) {
	if sizeTimeout(4<<20) != 4*callTimeoutPerMegabyte || sizeTimeout(0) != 0 {
		t.Errorf("%v for 4 MB", sizeTimeout(4<<20))
	}
}

func TestErrorsNameTheCause(t *testing.T) {
	s := newTestService(&fakeReplica{always: errNotReady})
	_, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	if err == nil || !strings.Contains(err.Error(), "no head") {
		t.Errorf("got %v", err)
	}
}
