package decide

import "time"

// Mode is the overload state of a backend as this node sees it: the states s = 0, 1, 2 of the scheme
// that the package follows.
type Mode int

const (
	// Normal backends take any request.
	Normal Mode = iota
	// Overloaded backends take requests only where no backend is normal, and then only some of them.
	Overloaded
	// Blocking backends take no requests.
	Blocking
)

const (
	// validityPeriod is how long an imposed mode lasts (oc-validity in the scheme).
	validityPeriod = time.Second
	// lowFactor gives the low threshold L as a multiple of H. It lies above ordinary load: otherwise a
	// backend that chance made overloaded would stay so.
	lowFactor = 0.9
	// blockFactor gives the blocking threshold R as a multiple of H. It leaves room for priority
	// requests.
	blockFactor = 2.0
)

// NextMode returns the mode that follows m when a backend holds n requests, with hysteresis. For whole
// n, a backend becomes overloaded at high, normal again below low, blocking at block, and overloaded
// again after blocking at high.
func NextMode(m Mode, n, low, high, block float64) Mode {
	switch {
	case m != Blocking && n > block-1:
		return Blocking
	case m == Normal && n > high-1, m == Blocking && n < high+1:
		return Overloaded
	case m == Overloaded && n < low:
		return Normal
	}
	return m
}

// modeOf updates a backend's mode from its load and returns the mode in force: the imposed one while it
// lasts and is stricter.
func (m *Module) modeOf(b *backend) Mode {
	n, h := m.load(b)
	b.mode = NextMode(b.mode, n, lowFactor*h, h, blockFactor*h+1)
	if m.now < b.imposedUntil && b.imposedMode > b.mode {
		return b.imposedMode
	}
	return b.mode
}

// imposeMode puts a backend into a mode for one validity period, whatever its load.
func (m *Module) imposeMode(b *backend, mode Mode) {
	b.imposedMode, b.imposedUntil = mode, m.now+validityPeriod
}
