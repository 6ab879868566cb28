package decide

import "math"

// class is a class of requests and what has been learned about it.
type class struct {
	Class
	index                int     // in Module.classOrder
	answers              float64 // number of answers
	latency              float64 // seconds; smoothed over all backends
	meanLatencyAtAnswers float64 // seconds; Module.meanLatency, averaged over the times of the class's answers
	baselineLatency      float64 // seconds; the lowest latency seen, without queueing
	relativeCost         float64 // its latency as a multiple of the mean request's
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
	inFlight          int // number of attempts in flight
	priority          bool
	answered          bool // it has its final answer
	streaming         bool // a stream has begun
	trial             bool // an attempt was a trial of a suspect
}

type tenant struct {
	perNode, tokens float64 // requests per second; requests
	tokensAt        Time
}

// classOf returns the class with a name. All names that the settings lack share one class, which is
// Unsafe and without value: clients may invent any name, so the module keeps no state for each.
func (m *Module) classOf(name string) *class {
	if c := m.classes[name]; c != nil {
		return c
	}
	return m.unknownClass
}

// takeToken takes a token from the tenant's bucket and reports whether there was one.
func (t *tenant) takeToken(now Time) bool {
	t.tokens, t.tokensAt = math.Min(t.perNode, t.tokens+t.perNode*(now-t.tokensAt).Seconds()), now
	ok := t.tokens >= 1
	if ok {
		t.tokens--
	}
	return ok
}
