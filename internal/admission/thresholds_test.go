package admission

import (
	"testing"
	"time"

	"nickelline/decide"
	"nickelline/internal/discovery"
)

func TestModesAtTheThresholds(t *testing.T) {
	p := newTestPool(backendsOf(1, 10, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	limits := thresholds{low: 8, high: 10, block: 25}
	for _, c := range []struct {
		load float64
		want decide.Mode
	}{
		{9, decide.Normal}, {9.1, decide.Overloaded}, {8, decide.Overloaded}, {7.9, decide.Normal},
		{9.5, decide.Overloaded}, {24, decide.Overloaded}, {24.1, decide.Blocking},
		{11, decide.Blocking}, {10.9, decide.Overloaded}, {7, decide.Normal},
	} {
		if got := b.nextMode(at(0), live, limits, c.load); got != c.want {
			t.Errorf("mode at load %v: got %v, want %v", c.load, got, c.want)
		}
	}
}

func TestThresholdsAreOrdered(t *testing.T) {
	p := newTestPool(nil)
	p.unloadedLatency = 0.02
	for _, slots := range []int{1, 2, 6, 16, 96} {
		b := newBackend(discovery.Backend{ID: "x"}, "a")
		b.update(discovery.Backend{ID: "x", Slots: slots}, 0)
		for n := 0.0; n < 4*float64(slots); n++ {
			for _, latency := range []float64{0, 0.02, 0.1, 0.5, 5} {
				for c := range classes {
					l := p.thresholdsOf(at(0), b, c, n, latency)
					if !(l.low < l.high && l.high < l.block) {
						t.Fatalf("%d slots, load %v, latency %v, class %v: got %+v, want low < high < block", slots, n, latency, c, l)
					}
				}
				l := p.thresholdsOf(at(0), b, live, n, latency)
				if slots <= minLiveHighSlots && l.high != float64(slots) {
					t.Fatalf("H of live requests with %d slots: got %v, want %d", slots, l.high, slots)
				}
			}
		}
	}
}
