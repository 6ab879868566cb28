package decide

import "math"

const (
	// subsetSeconds is the time between two requests at a backend of the subset: what it says holds for a
	// validity.
	subsetSeconds = 1.0
	// minSubset backends are in a subset at least; fewer leave no choice once some of them fail.
	minSubset = 8.0
	// minTableBound is the same where backends' tables of connections have no room for more.
	minTableBound = 4.0
	// tableGain is the weight of an attempt in the smoothed parts of attempts that are rejected.
	tableGain = 0.1
	// tablesFullAbove is the part of attempts: where more are rejected for it, tables are too full.
	tablesFullAbove = 0.05
	// tableBoundGrowth raises the bound each other period: room is tried again within half a minute.
	tableBoundGrowth = 1.01
	// arrivalTau, in seconds, smooths this node's arrivals, so that its subset does not flutter.
	arrivalTau = 10.0
)

// chooseSubset picks the backends that the ordinary path uses. One of many nodes that talked to all
// backends would know none of them, and its connections would fill their tables. All nodes have the
// same ring of backends and start at even distances on it. Suspects are not made up for: all nodes
// would open connections to the other backends at once.
func (m *Module) chooseSubset() {
	known := 1 - decay(m.now-m.startAt+tickInterval, arrivalTau)
	m.arrivalRate = m.smoothedArrivals * decay(m.now-m.arrivedAt, arrivalTau) / known
	want := subsetSeconds * m.arrivalRate
	if want > m.subsetSize || want < m.subsetSize/2 {
		m.subsetSize = math.Max(want, minSubset) // else unchanged: a new backend costs a connection
	}
	if m.subsetSize < float64(len(m.ready)) { // one of few nodes needs all backends, and finds room at others
		m.subsetSize = math.Min(m.subsetSize, m.boundByTables())
	}
	start := int(math.Mod((float64(m.settings.Self)+0.5)*math.Phi, 1) * float64(len(m.ready)))
	m.subset, m.subsetNumber = m.subset[:0], m.subsetNumber+1
	for i := 0; i < min(len(m.ready), int(m.subsetSize)); i++ {
		b := m.ready[(start+i)%len(m.ready)]
		b.subsetNumber = m.subsetNumber
		m.subset = append(m.subset, b)
	}
}

// boundByTables returns the bound that the room in backends' tables of connections puts on a subset.
// No backend reports that room, but full tables reject what comes on a new connection, and full queues
// what comes on any. All nodes see it, and all give way: a full table costs a backend a part of its
// capacity.
func (m *Module) boundByTables() float64 {
	if more := (m.rejectedNew - m.rejectedKept) * m.openingShare; more > tablesFullAbove {
		m.tableBound = math.Max(minTableBound, math.Min(m.tableBound, m.subsetSize)*(1-more/2))
	} else if m.tableBound < float64(len(m.ready)) {
		m.tableBound *= tableBoundGrowth
	}
	return m.tableBound
}

// recordRejection keeps account of what backends reject, on new connections and on those that were
// there.
func (m *Module) recordRejection(e AttemptEnded) {
	part, opened := &m.rejectedKept, 0.0
	if e.Opened {
		part, opened = &m.rejectedNew, 1
	}
	m.openingShare += tableGain * (opened - m.openingShare)
	switch e.Code {
	case Full:
		*part += tableGain * (1 - *part)
	case OK:
		*part -= tableGain * *part
	default: // other outcomes say nothing of the tables
	}
}
