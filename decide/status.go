package decide

import (
	"fmt"
	"math"
	"strings"
	"time"
)

const (
	// statusInterval is the time between two sets of status lines; it keeps the log of a day readable.
	statusInterval = 5 * time.Second
)

// backendLogInterval is the minimum time between two log lines about one backend.
const backendLogInterval = 5 * time.Second

// tally counts what happened since the last status lines, for operators; no decision depends on it.
type tally struct {
	since                          Time
	arrived, sent, refused, failed int
	noBackend                      int // new requests that no backend was available for
	shed                           int // new requests that were dropped
	ended                          [OutcomeCodes]int
	byCount                        [Blocking + 1]int // backends in each mode by load, summed over ticks
	byMode                         [Blocking + 1]int // the same by the mode in force
	suspect, cold                  int               // the same for suspects and for cold backends
}

// logBackend logs a line about a backend, at most one per backendLogInterval: a backend that keeps
// failing and recovering must not fill the disk.
func (m *Module) logBackend(b *backend, line string) {
	if m.now >= b.logQuietUntil {
		b.logQuietUntil = m.now + backendLogInterval
		m.emit(Log{fmt.Sprintf("server %d %s", b.ID, line)})
	}
}

// logStatus logs the counts since the last status lines and the estimates that the thresholds now
// depend on.
func (m *Module) logStatus() {
	m.logCounts()
	m.logEstimates()
	m.logFleet()
	m.tally = tally{since: m.now}
}

func (m *Module) logCounts() {
	t := &m.tally
	m.emit(Log{fmt.Sprintf("status arrived=%d sent=%d refused=%d failed=%d no_server=%d shed=%d ended=%v "+
		"by_count=%v by_mode=%v suspect=%d cold=%d",
		t.arrived, t.sent, t.refused, t.failed, t.noBackend, t.shed, t.ended,
		t.byCount, t.byMode, t.suspect, t.cold)})
}

func (m *Module) logEstimates() {
	n, h := 0.0, 0.0
	for _, b := range m.subset {
		backendLoad, threshold := m.load(b)
		n, h = n+backendLoad, h+threshold
	}
	backends := math.Max(1, float64(len(m.subset)))
	m.emit(Log{fmt.Sprintf("sizes servers=%d/%d n=%.2f H=%.2f q1=%.2f q2=%.2f share=%.2f rate=%.2f peak=%.2f "+
		"failing=%.3f mean=%.3f base=%.3f aimed=%.3f least=%.3f full=%.1f typical=%.1f turned_away=%.2f/%.2f",
		len(m.subset), len(m.listed), n/backends, h/backends, m.priorityDrop, m.otherDrop, m.trafficShare,
		m.meanCapacity, m.peakCapacity, m.failureRate, m.meanLatency, m.baselineLatency, m.targetLatency,
		m.minMeanLatency, m.saturationInFlight(), m.meanInFlight, m.newConnRejectRate, m.reusedConnRejectRate)})
}

func (m *Module) logFleet() {
	var fleet strings.Builder
	for _, b := range m.subset {
		m.describe(&fleet, b)
	}
	m.emit(Log{"fleet" + fleet.String()})
}

// describe appends the figures of one backend to the line about the fleet.
func (m *Module) describe(line *strings.Builder, b *backend) {
	_, h := m.load(b)
	fmt.Fprintf(line, " %d:n=%.0f,H=%.0f,rate=%.2f,util=%.2f,told=%.0f,latency=%.3f,mode=%d",
		b.ID, b.inFlight, h, m.rateOf(b), m.utilisationOf(b), b.reportedInFlight, m.latencyOf(b), b.mode)
	if b.suspect {
		line.WriteString(",suspect")
	}
	if b.cold {
		line.WriteString(",cold")
	}
	for _, c := range m.classOrder {
		if b.healthOf(c).avoided {
			line.WriteString(",loses=" + c.Name)
		}
	}
}
