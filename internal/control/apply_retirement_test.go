package control

import (
	"testing"
	"time"
)

func TestRetirements(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, retire("a", 1), Accepted)
	applyAndCheck(t, m, retire("a", 1), Repeated)
	applyAndCheck(t, m, retire("b", 2), Accepted)
	applyAndCheck(t, m, retire("c", 3), Refused)
	applyAndCheck(t, m, retire("a", 1), Repeated)
	if m.State().RetirementRevision != 2 {
		t.Errorf("got revision %d, want 2", m.State().RetirementRevision)
	}
	if !m.State().Retired(Store{"a", 1}) || !m.State().Retired(Store{"a", 9}) || m.State().Retired(Store{"c", 3}) {
		t.Error("while retirements are in progress: got the wrong stores retired, want every replica of a and none of c")
	}
	applyAndCheck(t, m, complete("c", 3, 0), Refused)
	applyAndCheck(t, m, complete("a", 9, 0), Refused)
	applyAndCheck(t, m, complete("a", 1, 1), VersionMismatch)
	applyAndCheck(t, m, complete("a", 1, 0), Accepted)
	applyAndCheck(t, m, complete("a", 1, 0), Repeated)
	retirement, found := m.State().Retirement("a")
	if !found || !retirement.Completed || retirement.Duration != 10*time.Second {
		t.Errorf("got %+v, want a completed retirement with a duration of 10 s", retirement)
	}
	if !m.State().Retired(Store{"a", 1}) || m.State().Retired(Store{"a", 9}) {
		t.Error("after a completed retirement: got the wrong replicas retired, want replica 1 and not replica 9")
	}
	applyAndCheck(t, m, retire("a", 1), Repeated)
	applyAndCheck(t, m, retire("a", 0), Repeated)
	if _, found := m.State().Retirement("d"); found {
		t.Error("got a retirement of d, which was not requested, want none")
	}
}

func TestRetirementOfANewReplicaOfThatName(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, retire("a", 1), Accepted)
	applyAndCheck(t, m, complete("a", 1, 0), Accepted)
	applyAndCheck(t, m, retire("a", 9), Accepted)
	if retirement, _ := m.State().Retirement("a"); retirement.Completed || len(m.State().Retirements) != 1 {
		t.Errorf("got %+v, want one retirement in progress", m.State().Retirements)
	}
}
