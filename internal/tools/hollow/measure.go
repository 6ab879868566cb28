package main

import (
	"runtime"
	"slices"
	"time"

	"nickelline/internal/measure"
	"nickelline/internal/peer"
)

// report is what the program prints.
type report struct {
	Nodes, Controls, Zones    int
	Tenants, Routes, Backends int
	DocumentBytes             int
	// The configuration changes, the list of backends, or processes are restarted.
	AtRest, UnderChanges, UnderListChanges, UnderRestarts figures
}

// figures are those of one period. All but the arrivals are for one process.
type figures struct {
	Seconds            float64
	Changes            int
	CPUMicrosPerSecond float64
	// Bytes sent a second, with frames and headers of datagrams, without headers of TCP connections.
	Membership, Gossip traffic
	HeapBytes          float64
	Goroutines         float64
	ArrivalMedianMs    float64
	ArrivalLastMs      float64
	Arrivals           int
}

// traffic is to processes of the own zone and to others.
type traffic struct{ Near, Far float64 }

// measure watches the fleet for a time, and has something change at a period, unless there is nothing to change.
func (f *fleet) measure(duration, every time.Duration, change func()) figures {
	f.takeArrivals()
	processor := measure.ProcessorTime()
	membership, gossiped := f.sent(peer.MemberKinds), f.sent(peer.GossipKinds)
	begin := time.Now()
	changes := repeat(duration, every, change)
	seconds := time.Since(begin).Seconds()
	count := float64(f.options.Nodes)
	result := figures{
		Seconds:            seconds,
		Changes:            changes,
		CPUMicrosPerSecond: float64((measure.ProcessorTime() - processor).Microseconds()) / seconds / count,
		Membership:         perSecond(f.sent(peer.MemberKinds), membership, seconds*count),
		Gossip:             perSecond(f.sent(peer.GossipKinds), gossiped, seconds*count),
		Goroutines:         float64(runtime.NumGoroutine()) / count,
	}
	arrivals := f.takeArrivals()
	result.Arrivals = len(arrivals)
	if len(arrivals) > 0 {
		slices.Sort(arrivals)
		result.ArrivalMedianMs = milliseconds(arrivals[len(arrivals)/2])
		result.ArrivalLastMs = milliseconds(arrivals[len(arrivals)-1])
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	result.HeapBytes = float64(memory.HeapAlloc+memory.StackInuse) / count
	return result
}

// repeat lets a time pass, and calls the function at a period.
func repeat(duration, every time.Duration, call func()) int {
	if call == nil {
		time.Sleep(duration)
		return 0
	}
	calls := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(every) {
		call()
		calls++
	}
	return calls
}

// sent is what all processes, the ended ones too, have sent of a package's messages.
func (f *fleet) sent(first peer.Kind) peer.Traffic {
	var all peer.Traffic
	for _, h := range slices.Concat(f.nodes, f.ended) {
		sent := h.transport.Sent(first)
		all.SameZone += sent.SameZone
		all.OtherZones += sent.OtherZones
	}
	return all
}

func perSecond(after, before peer.Traffic, seconds float64) traffic {
	return traffic{Near: float64(after.SameZone-before.SameZone) / seconds, Far: float64(after.OtherZones-before.OtherZones) / seconds}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
