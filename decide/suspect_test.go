package decide_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"nickelline/decide"
)

// A network that breaks some attempts at every backend must make few suspects; a backend that breaks all of its
// attempts becomes one at once.
func TestChanceFailuresMakeFewSuspects(t *testing.T) {
	for _, c := range []struct {
		name       string
		broken     uint32 // of 100 attempts, whatever the backend
		dead       decide.BackendID
		least, max int // times that a backend becomes a suspect
	}{
		{"no failures", 0, 0, 0, 0},
		{"a tenth breaks", 10, 0, 0, 1},
		{"a fifth breaks", 20, 0, 0, 2},
		{"one backend breaks all", 0, 2, 1, 4},
		{"one backend breaks all, and a tenth of the rest", 10, 2, 1, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newModuleFixture(t, fixtureSettings(), 6)
			n := 0
			r.delay = func(b decide.BackendID) (time.Duration, decide.OutcomeCode) {
				h := fnv.New32a()
				fmt.Fprint(h, n)
				if n++; h.Sum32()%100 < c.broken || b == c.dead {
					return 10 * time.Millisecond, decide.Reset
				}
				return 50 * time.Millisecond, decide.OK
			}
			r.run(30*time.Second, 300, "cheap")
			if r.suspects < c.least || r.suspects > c.max {
				t.Errorf("got %d suspects in 9000 requests, want %d to %d", r.suspects, c.least, c.max)
			}
		})
	}
}
