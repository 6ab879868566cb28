package decide

import (
	"math"
	"time"
)

const (
	// tickInterval is the period of the checks; it is well below any latency target.
	tickInterval = 25 * time.Millisecond
)

// Module makes the decisions of one node. It is not safe for concurrent use.
type Module struct {
	settings    Settings
	randomState uint64
	startAt     Time
	now         Time     // of the event being handled
	actions     []Action // caused by the event being handled
	ticking     bool

	classes      map[string]*class
	classOrder   []*class
	unknownClass *class
	tenants      map[string]*tenant

	backends map[BackendID]*backend
	listed   []*backend // not gone, in ring order, which all nodes share
	ready    []*backend // the listed backends that are ready
	subset   []*backend // the ready backends that this node uses

	requests     map[RequestID]*request
	openRequests []*request // in order of arrival
	retryTokens  float64    // budget of further attempts

	// The subset (subset.go).
	smoothedArrivals     float64 // arrivals per second, exponentially smoothed
	arrivalRate          float64 // smoothedArrivals, corrected for its start at 0
	lastArrivalAt        Time
	subsetSize           float64 // number of backends that the subset is to have
	subsetBound          float64 // upper bound on subsetSize, from the room in backends' connection tables
	newConnRejectRate    float64 // share of the attempts on new connections that is rejected, smoothed
	reusedConnRejectRate float64 // the same on reused connections
	newConnShare         float64 // share of the attempts that opens a connection, smoothed
	subsetGeneration     int     // number of subsets chosen so far

	// Latencies, in seconds (latency.go, estimates.go).
	answers         float64 // number of answers
	lastAnswerAt    Time
	meanLatency     float64 // smoothed
	recentLatency   float64 // smoothed over a shorter time
	baselineLatency float64 // of a mean request, without queueing
	targetLatency   float64 // mean latency at which every class still meets its target
	minMeanLatency  float64 // the lowest meanLatency seen

	// Capacity (capacity.go, estimates.go).
	answersSuffice bool    // there are enough answers to compute thresholds
	capacityKnown  bool    // the capacity of some backend with a history has been measured
	meanCapacity   float64 // answers per second that the mean backend can give this node
	peakCapacity   float64 // the highest meanCapacity seen
	failureRate    float64 // share of the attempts that fails, smoothed (recordFailureRate)
	trafficShare   float64 // this node's share of all requests at its backends

	// Reports (reports.go).
	unqueuedSum           float64 // sum of the reported requests in flight that are not queued, decaying
	utilisationSum        float64 // sum of the reported utilisation, decaying
	utilisationSumAt      Time
	minSaturationInFlight float64 // the lowest quotient of these sums seen
	meanInFlight          float64 // requests in flight that backends report, smoothed
	meanInFlightAt        Time
	loadIncrease          float64 // load taken over from backends that have gone, relative to the reported load
	loadIncreaseAt        Time

	// Shedding (shedding.go).
	shedPeriodStart  Time
	priorityArrivals float64 // in this period
	otherArrivals    float64
	priorityDrop     float64 // drop probability of priority requests
	otherDrop        float64 // of other requests
	overloadSum      float64 // sum over this period's ticks of the fleet's overload: 0 at H, 1 at R
	ticks            float64
	meanValue        float64 // of the mean request
	maxValue         float64 // of the class with the highest value

	// The subscription to the list (list.go).
	subscribed      bool
	subscribing     bool
	subscribeAt     Time
	subscribeSentAt Time
	subscribeWait   time.Duration

	// Estimates shared between nodes (peers.go).
	estimatesKnownSince   Time // when they were first known, here or at the node that sent them
	estimateRequests      int  // rounds of requests to peers
	nextEstimateRequestAt Time // time of the next round

	tally tally
}

// New returns the module of a node that has just started. The same settings, seed and events produce
// the same actions.
func New(settings Settings, seed int64) *Module {
	m := &Module{
		settings:    settings,
		randomState: uint64(seed)*2 + 1,
		retryTokens: maxRetryTokens,
		subsetBound: math.Inf(1),
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
		m.maxValue = math.Max(m.maxValue, c.Value)
	}
	m.unknownClass = m.newClass(Class{})
	m.meanValue = m.maxValue
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

// Handle processes an event and returns the actions that the caller must carry out, in order. The
// caller owns the slice.
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
		m.attemptEnded(e)
	case StreamStarted:
		m.streamStarted(e)
	case RequestAbandoned:
		if r := m.requests[e.ID]; r != nil && !r.answered {
			m.closeRequest(r)
		}
	case MessageReceived:
		m.receive(e)
	case TimerFired:
		m.tick()
		m.emit(timer)
	}
	return m.actions
}

// begin initialises what depends on the time of the first event.
func (m *Module) begin() {
	m.ticking, m.shedPeriodStart, m.startAt = true, m.now, m.now
	m.subscribeWait, m.subscribeAt = firstSubscribeWait, m.now+m.jitter(firstSubscribeWait)
	m.subsetSize, m.tally.since, m.estimatesKnownSince = minSubset, m.now, m.now
}

// streamStarted handles the start of a streamed answer, whose latency counts up to this point.
func (m *Module) streamStarted(e StreamStarted) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
	m.recordAnswer(r.attempts[e.Attempt].backend, r.class, e.Elapsed)
}

// tick runs the periodic checks.
func (m *Module) tick() {
	m.updateEstimates()
	m.checkBackends()
	m.answerOverdue()
	if m.now-m.shedPeriodStart >= shedPeriod {
		m.recomputeShedding()
	}
	if m.now-m.tally.since >= statusInterval {
		m.logStatus()
	}
	m.renewSubscription()
	m.requestEstimates()
}

// checkBackends marks unresponsive backends as suspects and measures how far the others are overloaded.
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

// answerOverdue answers requests whose deadline has passed, in case an outcome never comes.
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

// emit appends an action to those caused by the current event.
func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }
