package admission

import "time"

const (
	// startupDecayTime is the time in which the initial estimate of other nodes' requests falls to 0.
	startupDecayTime = 2 * time.Second
	// startupFraction is the fraction of a backend's slots that other nodes are assumed to use when the pool is new.
	startupFraction = 0.25
	// initialLatency is the mean latency before the first response, in seconds.
	initialLatency = 0.05
	// latencyMeanGain is the weight of a new sample in the mean latency of the pool.
	latencyMeanGain = 0.1
	// unloadedLatencyNoise is the fraction by which the mean latency may fall below its true value by chance.
	unloadedLatencyNoise = 0.15
	// unloadedLatencyGrowthSeconds is the time constant with which the unloaded latency grows until a lower mean is measured.
	unloadedLatencyGrowthSeconds = 600.0
	// minResponses is the number of responses from which the estimates are used.
	minResponses = 20
	// typicalLoadGain is the weight of a new report in the typical load of other nodes.
	typicalLoadGain = 0.1
	// typicalLoadDecayTime is the time in which the typical load falls to 0 without any report.
	typicalLoadDecayTime = 1500 * time.Millisecond
	// meanTokensGain is the weight of a new request in the mean size.
	meanTokensGain = 0.02
	// Bounds of the weight of a request; a request of mean size has weight 1.
	minWeight = 0.25
	maxWeight = 4.0
	// firstByteFractionGain is the weight of a new request in the mean firstByteFraction.
	firstByteFractionGain = 0.02
	// Below streamingFirstByteFraction, responses are streams: their first byte comes well before their end.
	streamingFirstByteFraction = 0.7
)

// estimates are smoothed means over all backends of a pool.
type estimates struct {
	firstRequestAt    time.Time
	responses         int     // responses so far
	meanLatency       float64 // mean time to first byte, s
	unloadedLatency   float64 // time to first byte without load, s; 0: not known yet
	unloadedLatencyAt time.Time
	typicalLoad       float64 // requests of other nodes per slot of a backend
	typicalLoadAt     time.Time
	meanTokens        float64 // mean size of a request
	firstByteFraction float64 // mean fraction of a request's duration that precedes the first byte of the response
}

func newEstimates() estimates {
	return estimates{meanLatency: initialLatency, firstByteFraction: 1}
}

// recordCompletion records the times from the request to the first byte and to the end of a complete response.
func (e *estimates) recordCompletion(firstByte, whole time.Duration) {
	if whole > 0 {
		e.firstByteFraction += firstByteFractionGain * (firstByte.Seconds()/whole.Seconds() - e.firstByteFraction)
	}
}

// isStreaming reports whether the responses of the service are streams.
func (e *estimates) isStreaming() bool { return e.firstByteFraction < streamingFirstByteFraction }

// backendsReportLoad reports whether any backend of the service has reported its load.
func (e *estimates) backendsReportLoad() bool { return !e.typicalLoadAt.IsZero() }

// typicalOthers returns the estimated number of requests of other nodes at a backend that has not reported its load.
func (e *estimates) typicalOthers(now time.Time, slots float64) float64 {
	if e.backendsReportLoad() {
		return e.typicalLoad * slots * freshness(now.Sub(e.typicalLoadAt), typicalLoadDecayTime)
	}
	if e.responses >= minResponses {
		return 0 // the backends do not report their load
	}
	return startupFraction * slots * freshness(now.Sub(e.firstRequestAt), startupDecayTime)
}

// recordOthers includes a backend's report in the typical load of other nodes.
func (e *estimates) recordOthers(now time.Time, b *backend) {
	others := b.othersInFlight / b.slots
	if e.typicalLoadAt.IsZero() {
		e.typicalLoad = others
	}
	e.typicalLoad += typicalLoadGain * (others - e.typicalLoad)
	if now.After(e.typicalLoadAt) {
		e.typicalLoadAt = now
	}
}

// recordLatency includes a time to first byte in the mean latency, and updates the unloaded latency, which rises slowly and
// follows a lower mean at once.
func (e *estimates) recordLatency(now time.Time, latency time.Duration) {
	if e.responses == 0 {
		e.meanLatency, e.unloadedLatencyAt = latency.Seconds(), now
	}
	e.responses++
	e.meanLatency += latencyMeanGain * (latency.Seconds() - e.meanLatency)
	if e.responses < minResponses {
		return
	}
	e.unloadedLatency *= 1 + now.Sub(e.unloadedLatencyAt).Seconds()/unloadedLatencyGrowthSeconds
	e.unloadedLatencyAt = now
	if e.unloadedLatency == 0 || e.meanLatency < e.unloadedLatency*(1-unloadedLatencyNoise) {
		e.unloadedLatency = e.meanLatency / (1 - unloadedLatencyNoise)
	}
}

// slowdown returns a latency as a multiple of the unloaded latency, at least 1. It returns 1 while the unloaded latency is
// not known.
func (e *estimates) slowdown(latency float64) float64 {
	if e.unloadedLatency == 0 {
		return 1
	}
	return max(1, latency/e.unloadedLatency)
}

// weightOf returns the weight of a request: its size as a multiple of the mean size, within minWeight and maxWeight, or 1 if
// its size is not known. It includes the size in the mean.
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

// freshness returns the weight of a value of some age. It falls linearly from 1 to 0 within decayTime.
func freshness(age, decayTime time.Duration) float64 {
	return max(0, 1-max(0, age.Seconds())/decayTime.Seconds())
}
