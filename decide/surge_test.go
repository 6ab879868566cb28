package decide

import (
	"testing"
	"time"
)

// When the list says that most backends have gone, those that are left will hold what those held, whatever they last
// reported: by the time that reports show it, all nodes have crowded them. That lapses, for then reports do show it.
func TestBackendsThatAreLeftHoldMore(t *testing.T) {
	for _, how := range []BackendState{Draining, Gone} {
		m := New(sparseSettings(300), 3)
		m.Handle(time.Hour, sparseList(40))
		_, now := drive(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
		if n, h := m.load(m.subset[0]); n > h/2 {
			t.Fatalf("n %.1f, H %.1f in ordinary work", n, h)
		}
		gone := sparseList(32)
		gone.Kind = ListChanges
		for i := range gone.Entries {
			gone.Entries[i].State = how
		}
		m.Handle(now, gone)
		if n, h := m.load(m.subset[0]); n < h || n > 60 {
			t.Errorf("n %.1f, H %.1f with a fifth of the backends left, that held 10 each", n, h)
		}
		m.now += 5 * time.Second
		if n, h := m.load(m.subset[0]); n > h/2 {
			t.Errorf("n %.1f, H %.1f without a sign of a crowd for 5 s", n, h)
		}
	}
}
