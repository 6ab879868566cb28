package decide

import "time"

// backend is what this node knows of a backend.
type backend struct {
	Backend
	ringPosition uint64 // in the order of backends that all nodes share
	firstSeen    Time   // first listed, or last started
	subsetNumber int    // the last choice of a subset that it was in

	// Overload (modes.go, thresholds.go).
	mode         Mode // by own count
	reportedMode Mode // by reports
	imposedMode  Mode // by a rejection or a report, until imposedUntil
	imposedUntil Time
	inFlight     float64 // own attempts
	dither       float64 // in [0,1), drawn each period

	// Reports (reports.go).
	reportedInFlight float64 // requests that it last reported to hold, at reportAt
	reportExcess     float64 // that over the typical number, or the excess that a time-out shows
	reportAt         Time
	utilisation      float64 // part of its cores that is busy, smoothed from 0; 0: never reported
	utilisationAt    Time

	// Latency and rate (latency.go, capacity.go).
	latencyExcess float64 // seconds; smoothed latency of a mean request over Module.meanLatency
	latencyAt     Time
	answerRate    float64 // own answers each second, smoothed
	answerRateAt  Time

	// Health (health.go, trials.go).
	faults          []fault // by class
	failuresInRow   int     // since the last success
	unanswered      int     // sends since the last answer
	unansweredSince Time    // the first of those sends
	suspect         bool
	trialAt         Time // of the next trial of a suspect
	trialWait       time.Duration
	backoff         time.Duration // added to a block after rejections in a row

	// Cold start (coldstart.go).
	cold      bool
	coldSince Time
	tokens    float64 // sends that its budget allows while cold
	tokensAt  Time

	logQuietUntil Time // no log line about it until then
}

// fault is how a backend does with one class.
type fault struct {
	lossRate    float64 // part of the class's attempts that it leaves undone, smoothed
	avoided     bool    // it gets no requests of the class, but for trials
	lastAttempt Time
	trialAt     Time
}

// backendOf returns the backend with an id, and makes it if it is new.
func (m *Module) backendOf(id BackendID) *backend {
	if m.backends[id] == nil {
		m.backends[id] = &backend{
			firstSeen:     m.now,
			utilisationAt: m.now,
			faults:        make([]fault, len(m.classOrder)),
			logQuietUntil: m.now,
			ringPosition:  mix(uint64(id) * mixIncrement),
		}
	}
	return m.backends[id]
}

// faultOf returns how the backend does with a class.
func (b *backend) faultOf(c *class) *fault { return &b.faults[c.index] }

// forget drops a backend that is gone once its last attempt has ended: new ones come under new ids for
// ever.
func (m *Module) forget(b *backend) {
	if b.State == Gone && b.inFlight <= 0 && m.backends[b.ID] == b {
		delete(m.backends, b.ID)
	}
}
