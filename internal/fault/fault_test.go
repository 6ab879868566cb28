package fault

import (
	"errors"
	"fmt"
	"testing"
)

func TestKindOf(t *testing.T) {
	err := New(QuotaExceeded, "tenant %s", "a")
	if KindOf(err) != QuotaExceeded || err.Error() != "tenant a" {
		t.Errorf("error: got kind %d and text %q, want %d and %q", KindOf(err), err, QuotaExceeded, "tenant a")
	}
	if kind := KindOf(fmt.Errorf("outer: %w", err)); kind != QuotaExceeded {
		t.Errorf("kind of a wrapped error: got %d, want %d", kind, QuotaExceeded)
	}
	if kind := KindOf(errors.New("plain")); kind != Internal {
		t.Errorf("kind of a plain error: got %d, want %d", kind, Internal)
	}
	if Wrap(NotReady, nil) != nil {
		t.Error("Wrap of nil: got an error, want nil")
	}
	if kind := KindOf(Wrap(Unclear, err)); kind != Unclear {
		t.Errorf("kind of an error wrapped twice: got %d, want the outer one, %d", kind, Unclear)
	}
}

// TestStatusesOfRequestsNotExecuted checks that the statuses which guarantee that a request was not executed belong to kinds
// that guarantee it, and to no others.
func TestStatusesOfRequestsNotExecuted(t *testing.T) {
	notExecuted := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for kind := range kindCount {
		answer := ResponseFor(kind)
		if answer.Status < 400 || answer.Status > 599 {
			t.Errorf("status of kind %d: got %d, want one of an error", kind, answer.Status)
		}
		if notExecuted[answer.Status] != answer.NotExecuted {
			t.Errorf("kind %d with status %d: got not executed %v, want %v", kind, answer.Status, answer.NotExecuted, notExecuted[answer.Status])
		}
	}
	if ResponseFor(kindCount).Status != 500 {
		t.Errorf("status of an unknown kind: got %d, want 500", ResponseFor(kindCount).Status)
	}
}
