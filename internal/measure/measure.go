// Package measure provides measurements that benchmarks do not report themselves: the heap memory that a value holds,
// and the CPU time used by the process.
package measure

import (
	"runtime"
	"syscall"
	"time"
)

// Heap returns the heap memory, in bytes, that one value of T retains: the mean over the given number of values
// returned by create.
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

// gcRuns is the number of garbage collections before the heap is measured: the second one frees the content of a
// sync.Pool, and the third one frees objects that had a finalizer.
const gcRuns = 3

// Memory returns the memory statistics of the process after gcRuns garbage collections.
func Memory() runtime.MemStats {
	for range gcRuns {
		runtime.GC()
	}
	var state runtime.MemStats
	runtime.ReadMemStats(&state)
	return state
}

func heapInUse() int64 { return int64(Memory().HeapAlloc) }

// CPUTime returns the CPU time, user and system, that the process has used since its start, or 0 if it is
// unknown.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
