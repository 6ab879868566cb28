package decide_test

import (
	"strings"
	"testing"
	"time"

	"nickelline/decide"
)

// Backends that leave one class unanswered and answer the others are avoided for that class alone, and get it again
// once they answer it.
func TestBackendsThatFailOneClass(t *testing.T) {
	const backends = 6
	r := newModuleFixture(t, fixtureSettings(), backends)
	r.patience = 600 * time.Millisecond
	r.delay = func(decide.BackendID) (time.Duration, decide.OutcomeCode) { return 150 * time.Millisecond, decide.OK }
	failing := true
	bySend := map[decide.BackendID]map[string]int{}
	r.outcome = func(id decide.RequestID, b decide.BackendID, d time.Duration, code decide.OutcomeCode) (time.Duration, decide.OutcomeCode) {
		class := strings.TrimRight(string(id), "0123456789")
		if bySend[b] == nil {
			bySend[b] = map[string]int{}
		}
		bySend[b][class]++
		if failing && b <= backends/2 && class == "cheap" {
			return time.Hour, decide.OK // no answer: it times out
		}
		return d, code
	}
	mixed := func(length time.Duration) {
		for end := r.now + length; r.now < end; {
			r.run(10*time.Millisecond, 100, "cheap")
			r.run(20*time.Millisecond, 100, "valuable")
		}
	}
	mixed(10 * time.Second)
	clear(bySend)
	mixed(10 * time.Second)
	for b := decide.BackendID(1); b <= backends/2; b++ {
		if lost := bySend[b]["cheap"]; lost > 40 {
			t.Errorf("backend %d got %d requests of the class that it fails in 10 s, want at most 40", b, lost)
		}
		if had := bySend[b]["valuable"]; had < 60 {
			t.Errorf("backend %d got %d requests of the class that it answers in 10 s, want at least 60", b, had)
		}
	}
	failing = false
	mixed(10 * time.Second)
	clear(bySend)
	mixed(10 * time.Second)
	for b := decide.BackendID(1); b <= backends/2; b++ {
		if had := bySend[b]["cheap"]; had < 30 {
			t.Errorf("backend %d got %d requests of the class that it answers again in 10 s, want at least 30", b, had)
		}
	}
}
