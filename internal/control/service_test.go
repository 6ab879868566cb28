package control

import (
	"strings"
	"testing"
	"time"

	"nickelline/internal/fault"
)

func TestConfigureRetries(t *testing.T) {
	f := &fakeReplica{faults: []error{errNotReady, errUnclear, errNotReady}}
	s := newTestService(f)
	result, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	if err != nil || result.Outcome != Accepted || result.Version != 3 || f.calls != 4 {
		t.Errorf("got %+v, %v after %d calls; want version 3 after 4", result, err, f.calls)
	}
}

func TestConfigureAfterALostAnswer(t *testing.T) {
	f := &fakeReplica{faults: []error{errUnclear}, applyDespiteFaults: true}
	s := newTestService(f)
	result, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	if err != nil || result.Outcome != Repeated || result.Version != 3 {
		t.Errorf("got %+v, %v; want outcome Repeated", result, err)
	}
}

func TestConfigureWhileTheChainIsUnavailable(t *testing.T) {
	s := newTestService(&fakeReplica{always: errNotReady})
	_, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	checkKind(t, err, fault.NotReady)
	s = newTestService(&fakeReplica{faults: []error{errUnclear}, always: errNotReady})
	_, err = s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	checkKind(t, err, fault.Unclear)
}

func TestRepeatedChangeIsAcknowledgedWhileTheChainIsUnavailable(t *testing.T) {
	f := &fakeReplica{}
	s := newTestService(f)
	request := put(0, documentText(3, 10)).Configure
	if _, err := s.Configure(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Configure(t.Context(), put(3, documentText(4, 10)).Configure); err != nil {
		t.Fatal(err)
	}
	f.fail(errNotReady)
	result, err := s.Configure(t.Context(), request)
	if err != nil || result.Outcome != Repeated {
		t.Errorf("got %+v, %v; want outcome Repeated", result, err)
	}
}

func TestInvalidChangesAreNotProposed(t *testing.T) {
	f := &fakeReplica{always: errNotReady}
	s := newTestService(f)
	for _, request := range []*Command{
		put(0, documentText(3, 0)), put(0, documentText(3, 10)[1:]), put(3, documentText(3, 10)), put(4, documentText(3, 10)),
		patch(3, patchText(3, 10)), patch(3, patchText(4, 10)[1:]), put(0, ""),
	} {
		_, err := s.Configure(t.Context(), request.Configure)
		checkKind(t, err, fault.InvalidConfiguration)
	}
	if f.calls != 0 {
		t.Errorf("got %d calls of the replica, want 0", f.calls)
	}
}

func TestRefusalsKeepTheirKind(t *testing.T) {
	s := newTestService(&fakeReplica{})
	if _, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure); err != nil {
		t.Fatal(err)
	}
	_, err := s.Configure(t.Context(), put(0, documentText(3, 11)).Configure)
	checkKind(t, err, fault.VersionConflict)
	_, err = s.Configure(t.Context(), patch(3, `{"version":4,"remove":{"services":["s"]}}`).Configure)
	checkKind(t, err, fault.InvalidConfiguration)
}

func TestReadNeedsABarrier(t *testing.T) {
	f := &fakeReplica{faults: []error{errNotReady, errUnclear}}
	s := newTestService(f)
	if _, err := s.Read(t.Context()); err != nil || f.calls != 3 {
		t.Errorf("got %v after %d calls, want success after 3", err, f.calls)
	}
	f.fail(errUnclear)
	_, err := s.Read(t.Context())
	checkKind(t, err, fault.NotReady)
}

func TestRetire(t *testing.T) {
	f := &fakeReplica{}
	s := newTestService(f)
	_, err := s.Retire(t.Context(), "x", time.Second)
	checkKind(t, err, fault.NotFound)
	_, err = s.Retirement(t.Context(), "a")
	checkKind(t, err, fault.NotFound)
	result, err := s.Retire(t.Context(), "a", time.Second)
	if err != nil || result.Outcome != Accepted {
		t.Fatalf("got %+v, %v; want outcome Accepted", result, err)
	}
	_, err = s.Retire(t.Context(), "b", time.Second)
	checkKind(t, err, fault.Conflict)
	retirement, err := s.Retirement(t.Context(), "a")
	if err != nil || retirement.Completed || retirement.Store != (Store{"a", 1}) {
		t.Errorf("got %+v, %v; want a retirement of replica 1 in progress", retirement, err)
	}
	s.stores = fakeStores{list: threeStores.list[1:], complete: true}
	if result, err := s.Retire(t.Context(), "a", time.Second); err != nil || result.Outcome != Repeated {
		t.Errorf("repeat the retirement of a store that is gone: got %+v, %v; want outcome Repeated", result, err)
	}
}

func TestRetireOnANewNode(t *testing.T) {
	s := newTestService(&fakeReplica{})
	s.stores = fakeStores{}
	_, err := s.Retire(t.Context(), "a", time.Second)
	checkKind(t, err, fault.NotReady)
}

func TestSizeTimeout(t *testing.T) {
	if sizeTimeout(4<<20) != 4*callTimeoutPerMegabyte || sizeTimeout(0) != 0 {
		t.Errorf("got %v for 4 MB, want %v", sizeTimeout(4<<20), 4*callTimeoutPerMegabyte)
	}
}

func TestErrorsNameTheCause(t *testing.T) {
	s := newTestService(&fakeReplica{always: errNotReady})
	_, err := s.Configure(t.Context(), put(0, documentText(3, 10)).Configure)
	if err == nil || !strings.Contains(err.Error(), "no head") {
		t.Errorf("got error %v, want it to contain %q", err, "no head")
	}
}
