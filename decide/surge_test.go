package decide

import (
	"testing"
	"time"
)

// When the list says that most backends have gone, the remaining ones will take over their load, whatever they last
// reported: by the time that reports show it, all nodes have overloaded them. The estimate decays, as later reports do
// show the load.
func TestRemainingBackendsTakeOverLoad(t *testing.T) {
	for _, how := range []BackendState{Draining, Gone} {
		m := New(largeFleetSettings(300), 3)
		m.Handle(time.Hour, readyList(40))
		_, now := simulateTraffic(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
		if n, h := m.load(m.subset[0]); n > h/2 {
			t.Fatalf("got n %.1f, H %.1f under ordinary load, want n at most H/2", n, h)
		}
		gone := readyList(32)
		gone.Kind = ListChanges
		for i := range gone.Entries {
			gone.Entries[i].State = how
		}
		m.Handle(now, gone)
		if n, h := m.load(m.subset[0]); n < h || n > 60 {
			t.Errorf("got n %.1f, H %.1f with a fifth of the backends left, which had 10 requests each; want n from H to 60", n, h)
		}
		m.now += 5 * time.Second
		if n, h := m.load(m.subset[0]); n > h/2 {
			t.Errorf("got n %.1f, H %.1f after 5 s without reports of load, want n at most H/2", n, h)
		}
	}
}
