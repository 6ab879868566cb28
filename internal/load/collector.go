package load

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/admission"
)

// summaryPart is how many loads one datagram of a summary holds at most.
const summaryPart = 96

// collector sums what the nodes of a zone report, and what collectors of other zones tell. It reads no clock and does no
// I/O; its caller sees to it that it is used by one goroutine at a time.
type collector struct {
	zone     string
	services map[string]*serviceLoads
}

// serviceLoads is what is known of one service.
type serviceLoads struct {
	reporters map[netip.AddrPort]*reporterState
	zones     map[zonePart]*zoneState
	totals    map[uint32]*total
	sweptAt   time.Time
	summedAt  time.Time
}

// reporterState is what a node has reported last.
type reporterState struct {
	at    time.Time
	loads []admission.BackendLoad
	// uses are the backends that the node wants to be told of; table stands for them.
	uses  []uint32
	table uint32
}

// zonePart names a part of the summary of a zone. While a zone changes its collector there may be two.
type zonePart struct {
	zone string
	from netip.AddrPort
	part uint16
}

type zoneState struct {
	at    time.Time
	loads []admission.BackendLoad
}

// total is what nodes have at one backend.
type total struct {
	own count // of the nodes of the collector's zone
	far count // of those of other zones
}

type count struct {
	inFlight, batch, unanswered int
	pending                     float64
}

func (c *count) add(l *admission.BackendLoad, sign int) {
	c.inFlight += sign * l.InFlight
	c.batch += sign * l.Batch
	c.unanswered += sign * l.Unanswered
	c.pending += float64(sign) * l.Pending
}

func newCollector(zone string) *collector {
	return &collector{zone: zone, services: map[string]*serviceLoads{}}
}

func (c *collector) service(name string) *serviceLoads {
	s := c.services[name]
	if s == nil {
		s = &serviceLoads{
			reporters: map[netip.AddrPort]*reporterState{},
			zones:     map[zonePart]*zoneState{},
			totals:    map[uint32]*total{},
		}
		c.services[name] = s
	}
	return s
}

// takeReport takes the place of the node's former report, and gives what all nodes have.
func (c *collector) takeReport(now time.Time, from netip.AddrPort, r *report) *answer {
	s := c.service(r.service)
	s.sweep(now)
	state := s.reporters[from]
	if state == nil {
		state = &reporterState{}
		s.reporters[from] = state
	}
	s.replaceOwn(now, state, r.loads)
	if r.complete {
		state.uses = backendsOf(r.loads)
		state.table = tableOf(state.uses)
	}
	return &answer{service: r.service, table: state.table, loads: s.loadsOf(state.uses)}
}

// takeSummary takes the place of the former one of the same part of a zone.
func (c *collector) takeSummary(now time.Time, from netip.AddrPort, m *summary) {
	if m.zone == c.zone {
		return
	}
	s := c.service(m.service)
	s.sweep(now)
	key := zonePart{zone: m.zone, from: from, part: m.part}
	if former := s.zones[key]; former != nil {
		s.addFar(former.loads, -1)
	}
	s.zones[key] = &zoneState{at: now, loads: m.loads}
	s.addFar(m.loads, 1)
}

// dueSummaries gives the sums of the own zone's nodes for other zones, once in an interval.
func (c *collector) dueSummaries(now time.Time, service string) []*summary {
	s := c.service(service)
	if now.Sub(s.summedAt) < Interval {
		return nil
	}
	s.summedAt = now
	var loads []admission.BackendLoad
	for backend, t := range s.totals {
		if t.own.inFlight > 0 || t.own.unanswered > 0 {
			loads = append(loads, admission.BackendLoad{
				Backend:    backend,
				InFlight:   t.own.inFlight,
				Batch:      t.own.batch,
				Unanswered: t.own.unanswered,
				Pending:    t.own.pending,
			})
		}
	}
	slices.SortFunc(loads, func(a, b admission.BackendLoad) int { return cmp.Compare(a.Backend, b.Backend) })
	var summaries []*summary
	for part := range slices.Chunk(loads, summaryPart) {
		summaries = append(summaries, &summary{service: service, zone: c.zone, loads: part, part: uint16(len(summaries))})
	}
	return summaries
}

// replaceOwn exchanges a node's loads.
func (s *serviceLoads) replaceOwn(now time.Time, state *reporterState, loads []admission.BackendLoad) {
	for i := range state.loads {
		s.total(state.loads[i].Backend).own.add(&state.loads[i], -1)
	}
	state.at, state.loads = now, loads
	for i := range loads {
		s.total(loads[i].Backend).own.add(&loads[i], 1)
	}
}

func (s *serviceLoads) addFar(loads []admission.BackendLoad, sign int) {
	for i := range loads {
		s.total(loads[i].Backend).far.add(&loads[i], sign)
	}
}

func (s *serviceLoads) total(backend uint32) *total {
	t := s.totals[backend]
	if t == nil {
		t = &total{}
		s.totals[backend] = t
	}
	return t
}

// loadsOf gives the sums for some backends, in their order.
func (s *serviceLoads) loadsOf(backends []uint32) []admission.BackendLoad {
	loads := make([]admission.BackendLoad, len(backends))
	for i, backend := range backends {
		loads[i].Backend = backend
		if t := s.totals[backend]; t != nil {
			loads[i].InFlight = t.own.inFlight + t.far.inFlight
			loads[i].Batch = t.own.batch + t.far.batch
			loads[i].Unanswered = t.own.unanswered + t.far.unanswered
			loads[i].Pending = max(0, t.own.pending+t.far.pending)
		}
	}
	return loads
}

// sweep forgets what was not renewed, once in an interval.
func (s *serviceLoads) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < Interval {
		return
	}
	s.sweptAt = now
	for from, state := range s.reporters {
		if now.Sub(state.at) > expiry {
			s.replaceOwn(now, state, nil)
			delete(s.reporters, from)
		}
	}
	for key, state := range s.zones {
		if now.Sub(state.at) > expiry {
			s.addFar(state.loads, -1)
			delete(s.zones, key)
		}
	}
	for backend, t := range s.totals {
		if t.own.inFlight == 0 && t.far.inFlight == 0 {
			delete(s.totals, backend)
		}
	}
}

func backendsOf(loads []admission.BackendLoad) []uint32 {
	backends := make([]uint32, len(loads))
	for i := range loads {
		backends[i] = loads[i].Backend
	}
	return backends
}
