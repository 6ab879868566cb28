package decide

import (
	"math"
	"time"
)

const (
	// staleLatencyTau, in seconds, is the time in which a latency that is not renewed drifts to the
	// fleet's mean.
	staleLatencyTau = 3.0
	// latencyGain is the weight of a new latency in a backend's smoothed one.
	latencyGain = 0.1
	// classGain is the same over all backends, where samples are many.
	classGain = 0.02
	// outlierCap bounds a latency as a multiple of the smoothed one: a heavy request does not make an
	// unhealthy backend.
	outlierCap = 4.0
	// recentTau, in seconds, smooths the faster mean of latencies.
	recentTau = 2.0
)

// latencyOf returns a backend's smoothed latency in seconds. A value that is not renewed drifts to the
// fleet's mean, so that the backend is tried again.
func (m *Module) latencyOf(b *backend) float64 {
	return m.meanLatency + b.latencyExcess*decay(m.now-b.latencyAt, staleLatencyTau)
}

// recordAnswer takes the latency of an answer. Means are plain at first, since short requests answer
// first.
func (m *Module) recordAnswer(b *backend, c *class, took time.Duration) {
	t := math.Max(took.Seconds(), 1e-6)
	m.answers++
	c.answers++
	m.meanLatency += math.Max(classGain, 1/m.answers) * (t - m.meanLatency)
	recentGain := math.Max(1-decay(m.now-m.answeredAt, recentTau), 1/m.answers)
	m.recentLatency += recentGain * (t/c.relativeCost - m.recentLatency)
	m.answeredAt = m.now
	c.latency += math.Max(classGain, 1/c.answers) * (t - c.latency)
	c.ambientLatency += math.Max(classGain, 1/c.answers) * (m.meanLatency - c.ambientLatency)
	// Not relative to meanLatency: a rare class must not keep the latency of a past overload.
	c.relativeCost = c.latency / c.ambientLatency
	m.recordLatency(b, c, took)
}

// recordLatency takes a latency into a backend's smoothed one. It is capped, as the latency of a heavy
// request is due to the request and not to the backend.
func (m *Module) recordLatency(b *backend, c *class, took time.Duration) {
	l := m.latencyOf(b)
	// A rare answer counts for more: it is all that is known.
	gain := math.Max(latencyGain, 1-decay(m.now-b.latencyAt, staleLatencyTau))
	l += gain * (math.Min(took.Seconds()/c.relativeCost, outlierCap*math.Max(l, m.meanLatency)) - l)
	b.latencyExcess, b.latencyAt = l-m.meanLatency, m.now
}
