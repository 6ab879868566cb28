package decide

import (
	"math"
	"time"
)

const (
	// tickInterval is the period of the checks: well under any latency target.
	tickInterval = 25 * time.Millisecond
)

// Module decides for one node. It is not safe for concurrent use.
type Module struct {
	settings    Settings
	randomState uint64
	startAt     Time
	now         Time     // of the event at hand
	actions     []Action // that the event at hand has brought about
	ticking     bool

	classes      map[string]*class
	classOrder   []*class
	unknownClass *class
	tenants      map[string]*tenant

	backends map[BackendID]*backend
	listed   []*backend // those not gone, in an order that all nodes share
	ready    []*backend // those of them that are ready
	subset   []*backend // those of them that are in use

	requests     map[RequestID]*request
	openRequests []*request // in order of arrival
	retryTokens  float64    // further attempts allowed

	// The subset (subset.go).
	smoothedArrivals float64 // requests that come each second, smoothed
	arrivalRate      float64 // the same, unbiased from the first one on
	arrivedAt        Time
	subsetSize       float64 // backends that the subset is to have
	tableBound       float64 // the same, at most: what backends' tables of connections have room for
	rejectedNew      float64 // part of the attempts on new connections that is rejected, smoothed
	rejectedKept     float64 // the same on connections that were there
	openingShare     float64 // part of the attempts that opens a connection, smoothed
	subsetNumber     int     // subsets chosen so far

	// Latencies, in seconds (latency.go, estimates.go).
	answers          float64
	answeredAt       Time
	meanLatency      float64 // smoothed
	recentLatency    float64 // smoothed over a shorter time
	uncrowdedLatency float64
	targetLatency    float64 // at which every class still meets its target
	leastLatency     float64 // the least that meanLatency has been

	// Capacity (capacity.go, estimates.go).
	answersSuffice bool    // there are answers enough for thresholds
	capacityKnown  bool    // some backend has been known for long enough
	fleetCapacity  float64 // answers each second that the mean backend is able to
	peakCapacity   float64 // the most that this has been
	failureRate    float64 // part of the attempts, after an answer of the same backend, that fails, smoothed
	trafficShare   float64 // this node's part of all requests at backends

	// Reports (reports.go).
	reportedHeld    float64 // sum of what backends reported to hold without queues, fading
	reportedBusy    float64 // sum of how busy they were, fading
	reportedHeldAt  Time
	leastSaturation float64 // the least that their quotient has been
	typicalHeld     float64 // what backends report to hold, smoothed
	typicalHeldAt   Time
	surge           float64 // by what part more backends hold than they report, as others have gone
	surgeAt         Time

	// Shedding (shedding.go).
	periodAt         Time
	priorityArrivals float64 // of this period
	otherArrivals    float64
	priorityDrop     float64 // drop probability
	otherDrop        float64
	overloadSum      float64 // sum of how far the fleet was above H, over this period's ticks
	ticks            float64
	meanValue        float64 // of the mean request
	topValue         float64 // of the class with the most

	// The subscription to the list (list.go).
	subscribed      bool
	subscribing     bool
	subscribeAt     Time
	subscribeSentAt Time
	subscribeWait   time.Duration

	// Sizes shared between nodes (peers.go).
	sizesKnownSince Time // when they were learned first, here or at another node
	sizeRequests    int  // times that peers were asked for them
	requestSizesAt  Time

	tally tally
}

// New returns the module of a node that has just started. The same settings, seed and events bring
// about the same actions.
func New(settings Settings, seed int64) *Module {
	m := &Module{
		settings:    settings,
		randomState: uint64(seed)*2 + 1,
		retryTokens: maxRetryTokens,
		tableBound:  math.Inf(1),
		classes:     map[string]*class{},
		tenants:     map[string]*tenant{},
		backends:    map[BackendID]*backend{},
		requests:    map[RequestID]*request{},
	}
	m.settings.Nodes = max(1, settings.Nodes)
	m.trafficShare = 1 / float64(m.settings.Nodes)
	if !settings.MayRetryAfter {
		m.settings.MaxRetryAfter = 0
	}
	for _, c := range settings.Classes {
		m.classes[c.Name] = m.newClass(c)
		m.topValue = math.Max(m.topValue, c.Value)
	}
	m.unknownClass = m.newClass(Class{})
	m.meanValue = m.topValue
	for _, t := range settings.Tenants {
		m.tenants[t.Name] = &tenant{perNode: t.Quota / float64(m.settings.Nodes)}
	}
	return m
}

func (m *Module) newClass(c Class) *class {
	added := &class{Class: c, relativeCost: 1, index: len(m.classOrder)}
	m.classOrder = append(m.classOrder, added)
	return added
}

// Handle takes an event and returns what is to be done about it, in order. The slice is not used
// again.
func (m *Module) Handle(now Time, e Event) []Action {
	m.now, m.actions = now, nil
	timer := SetTimer{After: max(tickInterval, m.settings.MinTick)} // the only timer in use
	if !m.ticking {
		m.begin()
		m.emit(timer)
	}
	switch e := e.(type) {
	case RequestArrived:
		m.arrive(e)
	case ListUpdate:
		m.updateList(e)
	case AttemptEnded:
		m.ended(e)
	case StreamStarted:
		m.streamStarted(e)
	case RequestAbandoned:
		if r := m.requests[e.ID]; r != nil && !r.answered {
			m.close(r)
		}
	case MessageReceived:
		m.receive(e)
	case TimerFired:
		m.tick()
		m.emit(timer)
	}
	return m.actions
}

// begin sets what depends on the time of the first event.
func (m *Module) begin() {
	m.ticking, m.periodAt, m.startAt = true, m.now, m.now
	m.subscribeWait, m.subscribeAt = firstSubscribeWait, m.now+m.jitter(firstSubscribeWait)
	m.subsetSize, m.tally.since, m.sizesKnownSince = minSubset, m.now, m.now
}

// streamStarted takes the beginning of a streamed answer, whose latency counts until then.
func (m *Module) streamStarted(e StreamStarted) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
	m.recordAnswer(r.attempts[e.Attempt].backend, r.class, e.Elapsed)
}

// tick makes the periodic checks.
func (m *Module) tick() {
	m.updateEstimates()
	m.checkBackends()
	m.answerOverdue()
	if m.now-m.periodAt >= shedPeriod {
		m.recomputeShedding()
	}
	if m.now-m.tally.since >= statusInterval {
		m.logStatus()
	}
	m.renewSubscription()
	m.requestSizes()
}

// checkBackends looks for backends that do not answer, and measures how far the others are overloaded.
func (m *Module) checkBackends() {
	overload, count := 0.0, 1e-9
	for _, b := range m.subset {
		if b.unanswered >= suspectAfter && m.unresponsive(b) {
			m.markSuspect(b, "no answer")
		}
		if b.suspect {
			m.tally.suspect++
			continue
		}
		m.tally.byCount[b.mode]++
		m.tally.byMode[m.modeOf(b)]++
		if b.cold {
			m.tally.cold++
		}
		count++
		if m.modeOf(b) != Normal {
			n, h := m.load(b)
			overload += math.Min(1, math.Max(0, (n-h)/(blockFactor*h+1-h)))
		}
	}
	m.overloadSum, m.ticks = m.overloadSum+overload/count, m.ticks+1
}

// answerOverdue answers requests whose deadline has passed, which guards against an outcome that never
// comes.
func (m *Module) answerOverdue() {
	open := m.openRequests[:0]
	for _, r := range m.openRequests {
		if !r.answered && !r.streaming && m.now >= r.deadline {
			m.answerFinally(r)
		}
		if !r.answered {
			open = append(open, r)
		}
	}
	clear(m.openRequests[len(open):])
	m.openRequests = open
}

// emit adds an action to those that the event at hand brings about.
func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }
