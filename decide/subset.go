package decide

import "math"

const (
	// requestIntervalSeconds is the mean time between two requests of this node to a backend of its
	// subset: what an answer says about the backend's load holds for one validity period.
	requestIntervalSeconds = 1.0
	// minSubset is the smallest size of a subset; fewer backends leave no choice once some of them
	// fail.
	minSubset = 8.0
	// minSubsetBound replaces minSubset where the backends' connection tables have no room for more.
	minSubsetBound = 4.0
	// rejectRateGain is the weight of an attempt in the smoothed rejection rates.
	rejectRateGain = 0.1
	// maxTableRejectRate is the share of attempts rejected for full connection tables above which the
	// subset shrinks.
	maxTableRejectRate = 0.05
	// subsetBoundGrowth is the factor by which the bound grows in each period without such rejections:
	// a larger subset is tried again within half a minute.
	subsetBoundGrowth = 1.01
	// arrivalTauSeconds is the time constant of this node's smoothed arrivals, long enough to keep its
	// subset stable.
	arrivalTauSeconds = 10.0
)

// chooseSubset picks the backends that the node uses. If each of many nodes sent requests to all
// backends, it would know little of any of them, and the connections of all nodes would fill the
// backends' connection tables. All nodes have the same ring of backends and start at evenly spread
// positions on it. Suspects are not replaced: otherwise all nodes would open connections to the other
// backends at once.
func (m *Module) chooseSubset() {
	weightSeen := 1 - decay(m.now-m.startAt+tickInterval, arrivalTauSeconds)
	m.arrivalRate = m.smoothedArrivals * decay(m.now-m.lastArrivalAt, arrivalTauSeconds) / weightSeen
	want := requestIntervalSeconds * m.arrivalRate
	if want > m.subsetSize || want < m.subsetSize/2 {
		m.subsetSize = math.Max(want, minSubset) // else unchanged, as a new backend costs a connection
	}
	if m.subsetSize < float64(len(m.ready)) { // else this is one of few nodes, and some backends have room
		m.subsetSize = math.Min(m.subsetSize, m.updateSubsetBound())
	}
	start := int(math.Mod((float64(m.settings.Self)+0.5)*math.Phi, 1) * float64(len(m.ready)))
	m.subset, m.subsetGeneration = m.subset[:0], m.subsetGeneration+1
	for i := 0; i < min(len(m.ready), int(m.subsetSize)); i++ {
		b := m.ready[(start+i)%len(m.ready)]
		b.subsetGeneration = m.subsetGeneration
		m.subset = append(m.subset, b)
	}
}

// updateSubsetBound updates and returns the bound on the subset's size that follows from the room in
// the backends' connection tables. No backend reports that room, but a full table rejects attempts on
// new connections only, while a full queue rejects attempts on any. All nodes see the rejections and
// all shrink their subsets, as a full table costs a backend part of its capacity.
func (m *Module) updateSubsetBound() float64 {
	if rate := (m.newConnRejectRate - m.reusedConnRejectRate) * m.newConnShare; rate > maxTableRejectRate {
		m.subsetBound = math.Max(minSubsetBound, math.Min(m.subsetBound, m.subsetSize)*(1-rate/2))
	} else if m.subsetBound < float64(len(m.ready)) {
		m.subsetBound *= subsetBoundGrowth
	}
	return m.subsetBound
}

// recordRejection updates the rejection rates of attempts on new and on reused connections.
func (m *Module) recordRejection(e AttemptEnded) {
	rate, opened := &m.reusedConnRejectRate, 0.0
	if e.NewConnection {
		rate, opened = &m.newConnRejectRate, 1
	}
	m.newConnShare += rejectRateGain * (opened - m.newConnShare)
	switch e.Code {
	case Full:
		*rate += rejectRateGain * (1 - *rate)
	case OK:
		*rate -= rejectRateGain * *rate
	default: // other outcomes say nothing about the tables
	}
}
