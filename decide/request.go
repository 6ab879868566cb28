package decide

import "math"

// class is a class of requests with what has been learned of it.
type class struct {
	Class
	index            int     // in Module.classOrder
	answers          float64 // number of answers
	latency          float64 // seconds; smoothed over all backends
	ambientLatency   float64 // seconds; Module.meanLatency at the times of its answers
	uncrowdedLatency float64 // seconds; the least that latency has been
	relativeCost     float64 // its latency as a multiple of the mean request's
}

type attempt struct {
	backend *backend
	sent    Time
	ended   bool
	mayRun  bool // it is in flight, or has ended without proof that it never ran
}

type request struct {
	id                RequestID
	class             *class
	arrived, deadline Time
	attempts          []attempt
	inFlight          int // attempts
	priority          bool
	answered          bool // it has its final answer
	streaming         bool // a stream has begun
	trial             bool // an attempt was a trial of a suspect
}

type tenant struct {
	perNode, tokens float64 // requests each second; requests
	tokensAt        Time
}

// classOf returns the class with a name. Those that the settings lack are one class, unsafe and
// without value: clients may invent any name.
func (m *Module) classOf(name string) *class {
	if c := m.classes[name]; c != nil {
		return c
	}
	return m.unknownClass
}

// takeToken takes a token of the tenant's share, and reports whether there was one.
func (t *tenant) takeToken(now Time) bool {
	t.tokens, t.tokensAt = math.Min(t.perNode, t.tokens+t.perNode*(now-t.tokensAt).Seconds()), now
	ok := t.tokens >= 1
	if ok {
		t.tokens--
	}
	return ok
}
