package member

import (
	"fmt"
	"testing"
	"time"

	"nickelline/internal/measure"
)

// BenchmarkPeriodBytes measures the bytes that a member sends in one probe period when no member changes: its probe,
// and the ack to the probe by another member. They do not include the headers of UDP and IP.
func BenchmarkPeriodBytes(b *testing.B) {
	for _, size := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := newBenchmarkMembership(size)
			now := time.Duration(0)
			sent, messages, periods := 0, 0, 0
			for b.Loop() {
				now += probePeriod
				periods++
				m.Advance(now)
				if current := m.prober.current; current != nil {
					ack := message{messageType: ackMessage, sequence: current.sequence, generation: current.generation, digest: m.digest}
					m.receive(now, current.target, &ack)
				}
				m.receive(now, simulatedAddress(1), &message{messageType: pingMessage, sequence: 1, digest: m.digest})
				for _, d := range m.Take(true).datagrams {
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

// BenchmarkTableHeap measures the heap used per member by the state machine and one table.
func BenchmarkTableHeap(b *testing.B) {
	type state struct {
		membership *membership
		table      *Table
	}
	for _, size := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := newBenchmarkMembership(size)
			for b.Loop() {
				m.table()
			}
			heap := measure.Heap(10, func() state {
				m := newBenchmarkMembership(size)
				return state{membership: m, table: m.table()}
			})
			b.ReportMetric(heap/float64(size), "heap-bytes/member")
		})
	}
}
