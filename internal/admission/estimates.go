package admission

import "time"

const (
	// startupMemory is the time within which the estimate of other nodes' requests at a start falls to 0 without reports.
	startupMemory = 2 * time.Second
	// startupFraction of its slots is what other nodes are taken to have at a backend of a new pool.
	startupFraction = 0.25
	// initialLatency is the estimate before any answer, in seconds.
	initialLatency = 0.05
	// latencyMeanGain is the weight of a new latency in the mean of the pool.
	latencyMeanGain = 0.1
	// uncrowdedNoise is by how much chance alone takes the mean below its true value.
	uncrowdedNoise = 0.15
	// uncrowdedGrowthSeconds is the time in which the uncrowded latency doubles unless it is seen again.
	uncrowdedGrowthSeconds = 600.0
	// minAnswers is the number of answers after which the estimates are used.
	minAnswers = 20
	// typicalGain is the weight of a new report in the typical load of other nodes.
	typicalGain = 0.1
	// typicalMemory is the time within which the typical load falls to 0 without any report.
	typicalMemory = 1500 * time.Millisecond
	// meanTokensGain is the weight of a request in the mean size.
	meanTokensGain = 0.02
	// Bounds of a request's weight; a request of mean size weighs 1.
	minWeight = 0.25
	maxWeight = 4.0
	// firstByteFractionGain is the weight of a new request in the fraction of time before the first byte.
	firstByteFractionGain = 0.02
	// Below streamingFirstByteFraction answers are streams: the first byte comes well before the end.
	streamingFirstByteFraction = 0.7
)

// estimates are smoothed means over all backends of a pool.
type estimates struct {
	startedAt         time.Time // first request
	answers           int
	latency           float64 // to the first byte, s
	uncrowded         float64 // the latency without load, s; 0: not known yet
	uncrowdedAt       time.Time
	typical           float64 // requests of other nodes for each slot of a backend
	typicalAt         time.Time
	meanTokens        float64 // of a request
	firstByteFraction float64 // of a request's time, before the first byte of its answer
}

func newEstimates() estimates {
	return estimates{latency: initialLatency, firstByteFraction: 1}
}

// recordCompletion takes the times of a whole answer: to its first byte, and to its end.
func (e *estimates) recordCompletion(firstByte, whole time.Duration) {
	if whole > 0 {
		e.firstByteFraction += firstByteFractionGain * (firstByte.Seconds()/whole.Seconds() - e.firstByteFraction)
	}
}

// isStreaming reports whether the service's answers are streams.
func (e *estimates) isStreaming() bool { return e.firstByteFraction < streamingFirstByteFraction }

// backendsReportLoad reports whether backends of the service report their load themselves, as far as is known.
func (e *estimates) backendsReportLoad() bool { return !e.typicalAt.IsZero() }

// typicalOthers returns the number of requests that other nodes are estimated to have at a backend without a report.
func (e *estimates) typicalOthers(now time.Time, slots float64) float64 {
	if e.backendsReportLoad() {
		return e.typical * slots * freshness(now.Sub(e.typicalAt), typicalMemory)
	}
	if e.answers >= minAnswers {
		return 0 // the service does not report its load
	}
	return startupFraction * slots * freshness(now.Sub(e.startedAt), startupMemory)
}

// recordOthers takes a backend's report into the typical load of other nodes.
func (e *estimates) recordOthers(now time.Time, b *backend) {
	others := b.othersInFlight / b.slots
	if e.typicalAt.IsZero() {
		e.typical = others
	}
	e.typical += typicalGain * (others - e.typical)
	if now.After(e.typicalAt) {
		e.typicalAt = now
	}
}

// recordLatency takes a latency into the mean and into the uncrowded latency, which rises slowly and falls at once.
func (e *estimates) recordLatency(now time.Time, latency time.Duration) {
	if e.answers == 0 {
		e.latency, e.uncrowdedAt = latency.Seconds(), now
	}
	e.answers++
	e.latency += latencyMeanGain * (latency.Seconds() - e.latency)
	if e.answers < minAnswers {
		return
	}
	e.uncrowded *= 1 + now.Sub(e.uncrowdedAt).Seconds()/uncrowdedGrowthSeconds
	e.uncrowdedAt = now
	if e.uncrowded == 0 || e.latency < e.uncrowded*(1-uncrowdedNoise) {
		e.uncrowded = e.latency / (1 - uncrowdedNoise)
	}
}

// crowding returns a latency as a multiple of the uncrowded one, at least 1.
func (e *estimates) crowding(latency float64) float64 {
	if e.uncrowded == 0 {
		return 1
	}
	return max(1, latency/e.uncrowded)
}

// weightOf returns a request's weight by its size in tokens; one of mean size weighs 1.
func (e *estimates) weightOf(tokens int) float64 {
	if tokens <= 0 {
		return 1
	}
	size := float64(tokens)
	if e.meanTokens == 0 {
		e.meanTokens = size
	}
	e.meanTokens += meanTokensGain * (size - e.meanTokens)
	return clamp(size/e.meanTokens, minWeight, maxWeight)
}

// freshness returns how much of a report still counts at its age: it falls evenly from 1 to 0 within a time.
func freshness(age, memory time.Duration) float64 {
	return max(0, 1-max(0, age.Seconds())/memory.Seconds())
}
