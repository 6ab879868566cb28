package decide_test

import (
	"strings"
	"testing"
	"time"

	"nickelline/decide"
)

// Backends that leave one class unanswered and answer the rest are passed over for that class alone, and have it
// again once they answer it.
func TestBackendsThatLoseOneClass(t *testing.T) {
	const backends = 6
	r := newRig(t, rigSettings(), backends)
	r.patience = 600 * time.Millisecond
	r.delay = func(decide.BackendID) (time.Duration, decide.OutcomeCode) { return 150 * time.Millisecond, decide.OK }
	losing := true
	bySend := map[decide.BackendID]map[string]int{}
	r.outcome = func(id decide.RequestID, b decide.BackendID, d time.Duration, code decide.OutcomeCode) (time.Duration, decide.OutcomeCode) {
		class := strings.TrimRight(string(id), "0123456789")
		if bySend[b] == nil {
			bySend[b] = map[string]int{}
		}
		bySend[b][class]++
		if losing && b <= backends/2 && class == "cheap" {
			return time.Hour, decide.OK // no answer: it times out
		}
		return d, code
	}
	mixed := func(length time.Duration) {
		for end := r.now + length; r.now < end; {
			r.run(10*time.Millisecond, 100, "cheap")
			r.run(20*time.Millisecond, 100, "dear")
		}
	}
	mixed(10 * time.Second)
	clear(bySend)
	mixed(10 * time.Second)
	for b := decide.BackendID(1); b <= backends/2; b++ {
		if lost := bySend[b]["cheap"]; lost > 40 {
			t.Errorf("backend %d had %d requests of the class that it loses in 10 s", b, lost)
		}
		if had := bySend[b]["dear"]; had < 60 {
			t.Errorf("backend %d had only %d requests of the class that it answers in 10 s", b, had)
		}
	}
	losing = false
	mixed(10 * time.Second)
	clear(bySend)
	mixed(10 * time.Second)
	for b := decide.BackendID(1); b <= backends/2; b++ {
		if had := bySend[b]["cheap"]; had < 30 {
			t.Errorf("backend %d had only %d requests of a class that it answers again in 10 s", b, had)
		}
	}
}
