package decide

import "time"

// backend is the state that this node keeps of one backend.
type backend struct {
	Backend
	ringPosition     uint64 // position on the ring of backends that all nodes share
	firstSeen        Time   // when it was first listed or last started
	subsetGeneration int    // the last subset that it was in

	// Overload (modes.go, thresholds.go).
	mode         Mode // by its load (modeOf)
	reportedMode Mode // by the requests in flight that it reports
	imposedMode  Mode // by a rejection or a report, until imposedUntil
	imposedUntil Time
	inFlight     float64 // this node's attempts
	dither       float64 // in [0,1); rounds H up or down at random, drawn each shed period

	// Reports (reports.go).
	reportedInFlight float64 // requests in flight that it last reported, at reportAt
	inFlightExcess   float64 // reportedInFlight minus Module.meanInFlight, or the excess that a timeout implies
	reportAt         Time
	utilisation      float64 // share of its cores that is busy, smoothed from 0; 0: never reported
	utilisationAt    Time

	// Latency and rate (latency.go, capacity.go).
	latencyExcess float64 // seconds; smoothed latency of a mean request minus Module.meanLatency
	latencyAt     Time
	answerRate    float64 // answers per second to this node, smoothed
	answerRateAt  Time

	// Health (health.go, trials.go).
	healthByClass       []classHealth // by class.index
	consecutiveFailures int           // since the last success
	unanswered          int           // sends since the last answer
	unansweredSince     Time          // time of the first of those sends
	suspect             bool          // it gets only trial requests
	trialAt             Time          // of the next trial while it is a suspect
	trialWait           time.Duration
	backoff             time.Duration // added to a block after consecutive rejections

	// Cold start (coldstart.go).
	cold      bool
	coldSince Time
	tokens    float64 // sends that the cold-start budget allows
	tokensAt  Time

	logQuietUntil Time // no log line about the backend until then
}

// classHealth is how well a backend serves one class.
type classHealth struct {
	failureRate float64 // share of the class's attempts that fails, smoothed
	avoided     bool    // it gets only trial requests of the class
	lastAttempt Time
	trialAt     Time
}

// backendOf returns the backend with an id and creates it if it is new.
func (m *Module) backendOf(id BackendID) *backend {
	if m.backends[id] == nil {
		m.backends[id] = &backend{
			firstSeen:     m.now,
			utilisationAt: m.now,
			healthByClass: make([]classHealth, len(m.classOrder)),
			logQuietUntil: m.now,
			ringPosition:  mix(uint64(id) * mixIncrement),
		}
	}
	return m.backends[id]
}

// healthOf returns how well the backend serves a class.
func (b *backend) healthOf(c *class) *classHealth { return &b.healthByClass[c.index] }

// forget drops a backend that is gone once its last attempt has ended: new backends keep coming under
// new ids, so the map would otherwise grow without bound.
func (m *Module) forget(b *backend) {
	if b.State == Gone && b.inFlight <= 0 && m.backends[b.ID] == b {
		delete(m.backends, b.ID)
	}
}
