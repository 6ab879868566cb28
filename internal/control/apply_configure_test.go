package control

import (
	"strings"
	"testing"
	"time"
)

func TestChangeIsAcceptedOnce(t *testing.T) {
	m := NewMachine()
	first, second, third := put(0, documentText(3, 10)), patch(3, patchText(5, 20)), put(5, documentText(9, 30))
	for _, request := range []*Command{first, second, third} {
		applyAndCheck(t, m, request, Accepted)
		applyAndCheck(t, m, request, Repeated)
	}
	for _, request := range []*Command{first, second, third} {
		applyAndCheck(t, m, request, Repeated)
		if !m.HasAccepted(request.Configure.Digest()) {
			t.Error("HasAccepted: got false for an accepted change, want true")
		}
	}
	state := m.State()
	if state.Version() != 9 || state.Configuration.Version != 9 || state.Configuration.Routes[0].Timeout != 30*time.Millisecond {
		t.Errorf("got version %d and route %+v, want version 9 with a timeout of 30 ms", state.Version(), state.Configuration.Routes[0])
	}
	if !strings.Contains(string(state.EncodedDocument()), `"timeoutMs":30`) {
		t.Errorf("got document %s, want a timeout of 30 ms", state.EncodedDocument())
	}
}

func TestInvalidOrStaleChangesAreNotAccepted(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, patch(0, patchText(1, 10)), Invalid)
	applyAndCheck(t, m, put(0, documentText(0, 10)), Invalid)
	applyAndCheck(t, m, put(0, documentText(5, 0)), Invalid)
	applyAndCheck(t, m, put(0, documentText(5, 10)[:50]), Invalid)
	applyAndCheck(t, m, put(0, documentText(5, 10)), Accepted)
	applyAndCheck(t, m, put(0, documentText(5, 11)), VersionMismatch)
	applyAndCheck(t, m, put(0, documentText(9, 10)), VersionMismatch)
	applyAndCheck(t, m, put(4, documentText(9, 10)), VersionMismatch)
	applyAndCheck(t, m, put(5, documentText(5, 11)), Invalid)
	applyAndCheck(t, m, put(5, documentText(4, 10)), Invalid)
	applyAndCheck(t, m, patch(5, patchText(5, 10)), Invalid)
	applyAndCheck(t, m, patch(5, patchText(7, 0)), Invalid)
	applyAndCheck(t, m, patch(5, `{"version":7,"remove":{"services":["s"]}}`), Invalid)
	applyAndCheck(t, m, patch(5, `{"version":7`), Invalid)
	// The bytes of the first change with another Match, or as a patch, are another change.
	applyAndCheck(t, m, put(5, documentText(5, 10)), Invalid)
	applyAndCheck(t, m, patch(0, documentText(5, 10)), VersionMismatch)
	if m.State().Version() != 5 || !strings.Contains(string(m.State().EncodedDocument()), `"timeoutMs":10`) {
		t.Errorf("got document %s, want only the accepted change", m.State().EncodedDocument())
	}
}

func TestChangeAheadOfItsVersionStaysRefused(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, put(0, documentText(3, 10)), Accepted)
	ahead := patch(5, patchText(7, 20))
	applyAndCheck(t, m, ahead, VersionMismatch)
	applyAndCheck(t, m, put(3, documentText(5, 10)), Accepted)
	applyAndCheck(t, m, ahead, VersionMismatch)
	restored := NewMachine()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	applyAndCheck(t, restored, ahead, VersionMismatch)
	applyAndCheck(t, restored, patch(5, patchText(7, 21)), Accepted)
}
