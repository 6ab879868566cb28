// Package measure gives benchmarks what their time does not show: the memory that is held, and the processor time used.
package measure

import (
	"runtime"
	"syscall"
	"time"
)

// Heap returns the heap, in bytes, that one value of T holds while it is referred to: the mean over the given number of
// copies that create makes.
func Heap[T any](copies int, create func() T) float64 {
	kept := make([]T, 0, copies)
	before := heapInUse()
	for range copies {
		kept = append(kept, create())
	}
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after-before) / float64(copies)
}

// collections is how often the collector runs before the heap is read: what lies in a sync.Pool is freed by the second
// run, and what had a finalizer by the one after it.
const collections = 3

// Memory returns the memory statistics of the process once the collector has freed all that it can.
func Memory() runtime.MemStats {
	for range collections {
		runtime.GC()
	}
	var state runtime.MemStats
	runtime.ReadMemStats(&state)
	return state
}

func heapInUse() int64 { return int64(Memory().HeapAlloc) }

// ProcessorTime returns the processor time, user and system, that the process has used since its start; 0 if that is not
// known.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
