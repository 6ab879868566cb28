package decide

import (
	"math"
	"time"
)

const (
	// staleLatencyTauSeconds is the time constant with which a latency that is not updated drifts to
	// the fleet's mean.
	staleLatencyTauSeconds = 3.0
	// latencyGain is the weight of a new sample in a backend's smoothed latency.
	latencyGain = 0.1
	// fleetGain is the weight of a new sample in averages over all backends, which get many samples.
	fleetGain = 0.02
	// outlierCap bounds a latency sample as a multiple of the smoothed latency: one heavy request must
	// not make a backend look unhealthy.
	outlierCap = 4.0
	// recentTauSeconds is the time constant of the faster of the two mean latencies.
	recentTauSeconds = 2.0
)

// latencyOf returns a backend's smoothed latency in seconds. A value that is not updated drifts to the
// fleet's mean, so that the backend is tried again.
func (m *Module) latencyOf(b *backend) float64 {
	return m.meanLatency + b.latencyExcess*decay(m.now-b.latencyAt, staleLatencyTauSeconds)
}

// recordAnswer records the latency of an answer. The first samples are averaged with equal weights,
// since short requests are answered first.
func (m *Module) recordAnswer(b *backend, c *class, took time.Duration) {
	t := math.Max(took.Seconds(), 1e-6)
	m.answers++
	c.answers++
	m.meanLatency += math.Max(fleetGain, 1/m.answers) * (t - m.meanLatency)
	recentGain := math.Max(1-decay(m.now-m.lastAnswerAt, recentTauSeconds), 1/m.answers)
	m.recentLatency += recentGain * (t/c.relativeCost - m.recentLatency)
	m.lastAnswerAt = m.now
	c.latency += math.Max(fleetGain, 1/c.answers) * (t - c.latency)
	c.meanLatencyAtAnswers += math.Max(fleetGain, 1/c.answers) * (m.meanLatency - c.meanLatencyAtAnswers)
	// The divisor is the mean latency at the times of the class's answers, not the current one: the
	// latency of a rare class may be from a past overload, which must not look like a high cost.
	c.relativeCost = c.latency / c.meanLatencyAtAnswers
	m.recordLatency(b, c, took)
}

// recordLatency adds a sample to a backend's smoothed latency. The sample is capped, as the latency of
// a heavy request is due to the request and not to the backend.
func (m *Module) recordLatency(b *backend, c *class, took time.Duration) {
	l := m.latencyOf(b)
	// After a long time without samples a new one weighs more, since it is all that is known.
	gain := math.Max(latencyGain, 1-decay(m.now-b.latencyAt, staleLatencyTauSeconds))
	l += gain * (math.Min(took.Seconds()/c.relativeCost, outlierCap*math.Max(l, m.meanLatency)) - l)
	b.latencyExcess, b.latencyAt = l-m.meanLatency, m.now
}
