package control

import (
	"testing"

	"nickelline/internal/fault"
)

func TestResultsBecomeFaults(t *testing.T) {
	for outcome, want := range map[Outcome]fault.Kind{
		Invalid: fault.InvalidConfiguration, VersionMismatch: fault.VersionConflict, Refused: fault.Conflict, Malformed: fault.Internal,
	} {
		if got := fault.KindOf(Result{Outcome: outcome, Text: "why"}.Err()); got != want {
			t.Errorf("outcome %d: got kind %d, want %d", outcome, got, want)
		}
	}
	if (Result{Outcome: Accepted}).Err() != nil || (Result{Outcome: Repeated}).Err() != nil {
		t.Error("got an error for an accepted or a repeated command")
	}
}
