package member

import (
	"fmt"
	"testing"
	"time"

	"nickelline/internal/measure"
)

// BenchmarkPeriodBytes tells what one period of a member puts on the network in a system at rest: its probe and the ack to
// the probe by another member. Headers of UDP and IP are not in it.
func BenchmarkPeriodBytes(b *testing.B) {
	for _, size := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newBenchmarkCore(size)
			now := time.Duration(0)
			sent, messages, periods := 0, 0, 0
			for b.Loop() {
				now += probePeriod
				periods++
				c.advance(now)
				if current := c.probing.current; current != nil {
					ack := message{messageType: ackMessage, sequence: current.sequence, generation: current.generation, digest: c.digest}
					c.receive(now, current.target, &ack)
				}
				c.receive(now, simulatedAddress(1), &message{messageType: pingMessage, sequence: 1, digest: c.digest})
				for _, d := range c.take().datagrams {
					data, err := d.message.encode()
					if err != nil {
						b.Fatal(err)
					}
					sent += len(data)
					messages++
				}
			}
			b.ReportMetric(float64(sent)/float64(periods), "bytes/period")
			b.ReportMetric(float64(messages)/float64(periods), "datagrams/period")
		})
	}
}

// BenchmarkTableHeap tells what the state of membership holds in memory, for each member: the state machine and one table.
func BenchmarkTableHeap(b *testing.B) {
	type state struct {
		core  *core
		table *Table
	}
	for _, size := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newBenchmarkCore(size)
			for b.Loop() {
				c.table()
			}
			heap := measure.Heap(10, func() state {
				c := newBenchmarkCore(size)
				return state{core: c, table: c.table()}
			})
			b.ReportMetric(heap/float64(size), "heap-bytes/member")
		})
	}
}
