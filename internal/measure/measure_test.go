package measure

import (
	"math"
	"runtime"
	"sync"
	"testing"
)

// checkHeapSize checks that the measured size is within 5% of want. The tolerance allows for the few bytes that the
// runtime and the test itself allocate and free during the measurement.
func checkHeapSize(t *testing.T, held, want float64) {
	t.Helper()
	const tolerance = 0.05
	if math.Abs(held-want) > tolerance*want {
		t.Errorf("heap of one value: got %v bytes, want about %v", held, want)
	}
}

func TestHeap(t *testing.T) {
	const size = 1 << 16
	held := Heap(10, func() []byte { return make([]byte, size) })
	checkHeapSize(t, held, size)
}

// The collector frees the content of a sync.Pool during the measurement, which must not be subtracted from the size of
// the value.
func TestHeapBesidePool(t *testing.T) {
	const size = 1 << 16
	var pool sync.Pool
	pooled := make([]byte, 64*size)
	pool.Put(&pooled)
	held := Heap(10, func() []byte { return make([]byte, size) })
	checkHeapSize(t, held, size)
	runtime.KeepAlive(&pool)
}

func TestCPUTime(*testing.T) {
	before := CPUTime()
	for CPUTime() == before {
	}
}
