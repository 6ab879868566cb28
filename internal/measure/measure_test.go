package measure

import (
	"math"
	"runtime"
	"sync"
	"testing"
)

// checkHeld allows for the few bytes that the runtime and the test's own frame get and free meanwhile.
func checkHeld(t *testing.T, held, want float64) {
	t.Helper()
	const tolerance = 0.05
	if math.Abs(held-want) > tolerance*want {
		t.Errorf("%v bytes are held, want about %v", held, want)
	}
}

func TestHeap(t *testing.T) {
	const size = 1 << 16
	held := Heap(10, func() []byte { return make([]byte, size) })
	checkHeld(t, held, size)
}

// What others leave in a pool is let go during the measurement, and must not be taken off the value's own heap.
func TestHeapBesidePool(t *testing.T) {
	const size = 1 << 16
	var pool sync.Pool
	pooled := make([]byte, 64*size)
	pool.Put(&pooled)
	held := Heap(10, func() []byte { return make([]byte, size) })
	checkHeld(t, held, size)
	runtime.KeepAlive(&pool)
}

func TestProcessorTime(*testing.T) {
	before := ProcessorTime()
	for ProcessorTime() == before {
	}
}
