package store

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/store/scheduler"
)

const benchmarkEvents = 61

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRunItems runs jobs of 60 items of 61 events. The CPU time includes the fake backends, which run in the same process.
func BenchmarkRunItems(b *testing.B) {
	const items = 60
	f := newFixture(b, 3)
	f.config.pacer = scheduler.NewPacer(streamReadInterval)
	for _, s := range f.backends {
		s.discardRequests = true
	}
	f.start()
	runtime.GC()
	before := cpuTime(b)
	jobs := 0
	for b.Loop() {
		jobs++
		job := testJob(testKey(jobs), items, benchmarkEvents)
		f.submit(job)
		f.results(job.Key, items)
		if _, err := f.partition.propose(b.Context(), &batch.Command{Drop: []batch.Key{job.Key}}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(jobs*items), "cpu-us/item")
	b.ReportMetric(float64(f.replica.commits)/float64(jobs), "commits/job")
}
