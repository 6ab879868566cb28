package load

import (
	"net/netip"
	"time"

	"nickelline/internal/admission"
)

// serviceLoads holds the reports, summaries and totals of one service.
type serviceLoads struct {
	reporters    map[netip.AddrPort]*reporterState
	summaries    map[summaryKey]*summaryState
	totals       map[uint32]*total
	sweptAt      time.Time
	summarizedAt time.Time
}

// reporterState is the last report of a node.
type reporterState struct {
	at    time.Time
	loads []admission.BackendLoad
	// backends are those of the last complete report. Responses hold the totals of these backends, in this order.
	backends     []uint32
	backendsHash uint32
}

// summaryKey identifies a chunk of the summary of a zone. There may be two senders while a zone changes its collector.
type summaryKey struct {
	zone  string
	from  netip.AddrPort
	chunk uint16
}

// summaryState is the last summary received for a summaryKey.
type summaryState struct {
	at    time.Time
	loads []admission.BackendLoad
}

// total is the load of all nodes at one backend.
type total struct {
	local  loadSum // caused by nodes of the collector's zone
	remote loadSum // caused by nodes of other zones
}

// loadSum is a sum of loads.
type loadSum struct {
	inFlight, batch, unanswered int
	pending                     float64
}

// add adds a load, or subtracts it if sign is -1.
func (s *loadSum) add(l *admission.BackendLoad, sign int) {
	s.inFlight += sign * l.InFlight
	s.batch += sign * l.Batch
	s.unanswered += sign * l.Unanswered
	s.pending += float64(sign) * l.Pending
}

// replaceLocal replaces the loads of a node, in its state and in the totals.
func (s *serviceLoads) replaceLocal(now time.Time, state *reporterState, loads []admission.BackendLoad) {
	for i := range state.loads {
		s.total(state.loads[i].Backend).local.add(&state.loads[i], -1)
	}
	state.at, state.loads = now, loads
	for i := range loads {
		s.total(loads[i].Backend).local.add(&loads[i], 1)
	}
}

// addRemote adds the loads of a summary to the totals, or subtracts them if sign is -1.
func (s *serviceLoads) addRemote(loads []admission.BackendLoad, sign int) {
	for i := range loads {
		s.total(loads[i].Backend).remote.add(&loads[i], sign)
	}
}

// total returns the total of a backend, and creates it if necessary.
func (s *serviceLoads) total(backend uint32) *total {
	t := s.totals[backend]
	if t == nil {
		t = &total{}
		s.totals[backend] = t
	}
	return t
}

// totalsOf returns the totals of the given backends, in their order.
func (s *serviceLoads) totalsOf(backends []uint32) []admission.BackendLoad {
	loads := make([]admission.BackendLoad, len(backends))
	for i, backend := range backends {
		loads[i].Backend = backend
		if t := s.totals[backend]; t != nil {
			loads[i].InFlight = t.local.inFlight + t.remote.inFlight
			loads[i].Batch = t.local.batch + t.remote.batch
			loads[i].Unanswered = t.local.unanswered + t.remote.unanswered
			loads[i].Pending = max(0, t.local.pending+t.remote.pending)
		}
	}
	return loads
}

// sweep removes expired reports and summaries, and totals without requests, at most once in an Interval.
func (s *serviceLoads) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < Interval {
		return
	}
	s.sweptAt = now
	for from, state := range s.reporters {
		if now.Sub(state.at) > expiry {
			s.replaceLocal(now, state, nil)
			delete(s.reporters, from)
		}
	}
	for key, state := range s.summaries {
		if now.Sub(state.at) > expiry {
			s.addRemote(state.loads, -1)
			delete(s.summaries, key)
		}
	}
	for backend, t := range s.totals {
		if t.local.inFlight == 0 && t.remote.inFlight == 0 {
			delete(s.totals, backend)
		}
	}
}

// backendsOf returns the backends of the loads, in their order.
func backendsOf(loads []admission.BackendLoad) []uint32 {
	backends := make([]uint32, len(loads))
	for i := range loads {
		backends[i] = loads[i].Backend
	}
	return backends
}
