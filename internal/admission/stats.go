package admission

import (
	"time"

	"nickelline/decide"
)

// Class names a class of requests in metrics.
type Class string

// The classes of requests in metrics.
const (
	ClassLive  Class = "live"
	ClassBatch Class = "batch"
)

var classNames = [classes]Class{live: ClassLive, batch: ClassBatch}

// refusalReason is the reason for a refusal.
type refusalReason int

const (
	shedByFraction refusalReason = iota // dropped at random by a drop fraction, since no backend was normal
	waitsForZone                        // batch work that waits for a backend of the local zone
	allBlocked                          // no backend is a candidate
	refusalReasons
)

var (
	refusalNames = [refusalReasons]string{"shed", "zone", "blocked"}
	bandNames    = [bands]string{"normal near", "normal far", "overloaded near", "overloaded far"}
	outcomeNames = [...]string{OK: "ok", Full: "full", Failed: "failed", TimedOut: "timed out", Cancelled: "cancelled"}
	modeNames    = [...]string{decide.Normal: "normal", decide.Overloaded: "overloaded", decide.Blocking: "blocking"}
)

// firstByteBounds are the upper bounds of the histogram buckets for the time to first byte.
var firstByteBounds = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond,
}

// classCounts holds the counters of one class since the start.
type classCounts struct {
	picks    [bands]uint64
	refusals [refusalReasons]uint64
	outcomes [len(outcomeNames)]uint64
	// firstByteTimes is a histogram of the time to first byte; its last bucket is for times above all bounds.
	firstByteTimes [len(firstByteBounds) + 1]uint64
	firstByteSum   time.Duration
}

// recordPick counts a pick by the band of the selected backend.
func (c *classCounts) recordPick(normal, near bool) {
	c.picks[bandOf(normal, near)]++
}

// recordFirstByte adds a time to first byte to the histogram.
func (c *classCounts) recordFirstByte(latency time.Duration) {
	c.firstByteSum += latency
	for i, bound := range firstByteBounds {
		if latency <= bound {
			c.firstByteTimes[i]++
			return
		}
	}
	c.firstByteTimes[len(firstByteBounds)]++
}

// FirstByteTimes is a histogram of the time to first byte.
type FirstByteTimes struct {
	// Bounds are the upper bounds of the buckets. Counts has one bucket more, for times above all bounds.
	Bounds []time.Duration
	Counts []uint64
	Sum    time.Duration
}

// ClassStats holds the metrics of one class of requests: counters since the start, and the current state.
type ClassStats struct {
	Class          Class
	Picks          map[string]uint64 // by mode and zone of the backend
	Refusals       map[string]uint64 // by reason
	Outcomes       map[string]uint64 // attempts by outcome
	FirstByteTimes FirstByteTimes
	// DropFraction is the fraction of requests that are dropped while no backend is normal: q1 for live requests, q2 for
	// batch work.
	DropFraction float64
	// Modes counts the backends by their current mode for the class.
	Modes map[string]int
}

// Stats holds the metrics of a pool.
type Stats struct {
	Classes []ClassStats
	// Backends is the number of backends in use, Ejected the number of those that are ejected.
	Backends, Ejected int
	// InFlight is the number of requests of this node at the backends, Others the estimated number of other nodes.
	InFlight int
	Others   float64
	// Latency is the smoothed time to first byte, UnloadedLatency an estimate of the time to first byte without load.
	Latency, UnloadedLatency time.Duration
	// LiveFraction is the expected fraction of the slots that live requests of all nodes take. It follows a decline with a
	// delay.
	LiveFraction float64
	// Shared reports whether valid loads of all nodes are known.
	Shared bool
}

// Stats returns the metrics of the pool.
func (p *Pool) Stats(now time.Time) Stats {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stats := Stats{
		Backends:        len(p.backends),
		Latency:         seconds(p.meanLatency),
		UnloadedLatency: seconds(p.unloadedLatency),
		LiveFraction:    p.liveFraction,
		Shared:          p.hasSharedLoads(now),
	}
	for _, b := range p.backends {
		stats.InFlight += b.inFlight
		stats.Others += b.otherRequests(now, p)
		if b.health.ejected {
			stats.Ejected++
		}
	}
	for c := range p.counts {
		stats.Classes = append(stats.Classes, p.classStats(class(c)))
	}
	return stats
}

func (p *Pool) classStats(c class) ClassStats {
	counts := &p.counts[c]
	stats := ClassStats{
		Class:    classNames[c],
		Picks:    byName(bandNames[:], counts.picks[:]),
		Refusals: byName(refusalNames[:], counts.refusals[:]),
		Outcomes: byName(outcomeNames[:], counts.outcomes[:]),
		FirstByteTimes: FirstByteTimes{
			Bounds: firstByteBounds[:],
			Counts: append([]uint64(nil), counts.firstByteTimes[:]...),
			Sum:    counts.firstByteSum,
		},
		DropFraction: p.shedding.dropFractions[c],
		Modes:        map[string]int{},
	}
	for _, b := range p.backends {
		stats.Modes[modeNames[b.modes[c]]]++
	}
	return stats
}

func byName(names []string, counts []uint64) map[string]uint64 {
	named := make(map[string]uint64, len(names))
	for i, name := range names {
		named[name] = counts[i]
	}
	return named
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
