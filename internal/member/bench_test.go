package member

import (
	"fmt"
	"testing"
	"time"
)

// newBenchmarkMembership returns the state machine of a member that knows size-1 others.
func newBenchmarkMembership(size int) *membership {
	s := newSimulation(nil, 1, 1)
	s.start(s.order[0], 1)
	m := s.nodes[s.order[0]].membership
	for i := 1; i < size; i++ {
		record := m.self.member
		record.Address = simulatedAddress(i)
		record.Generation = uint64(i)
		m.add(0, &record)
	}
	return m
}

// BenchmarkProbeRound measures one probe period of a member: a probe and its ack, and a probe by another member. It
// includes encoding and decoding of the messages.
func BenchmarkProbeRound(b *testing.B) {
	for _, size := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := newBenchmarkMembership(size)
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += probePeriod
				m.Advance(now)
				if current := m.prober.current; current != nil {
					ack := message{messageType: ackMessage, sequence: current.sequence, generation: current.generation, digest: m.digest}
					m.receive(now, current.target, roundTrip(b, &ack))
				}
				ping := message{messageType: pingMessage, sequence: 1, digest: m.digest}
				m.receive(now, simulatedAddress(1), roundTrip(b, &ping))
				for _, d := range m.Take(true).datagrams {
					roundTrip(b, &d.message)
				}
			}
		})
	}
}

func roundTrip(b *testing.B, m *message) *message {
	data, err := m.encode()
	if err != nil {
		b.Fatal(err)
	}
	decoded, err := decodeMessage(data)
	if err != nil {
		b.Fatal(err)
	}
	return &decoded
}

// BenchmarkTable measures the construction of a table.
func BenchmarkTable(b *testing.B) {
	for _, size := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := newBenchmarkMembership(size)
			b.ReportAllocs()
			for b.Loop() {
				m.table()
			}
		})
	}
}
