package load

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/admission"
)

// summaryChunkSize is the maximum number of loads in one datagram of a summary.
const summaryChunkSize = 96

// collector adds up the reports of the nodes of its zone and the summaries of other zones. It reads no clock, does no I/O
// and is not safe for concurrent use.
type collector struct {
	zone     string
	services map[string]*serviceLoads
}

func newCollector(zone string) *collector {
	return &collector{zone: zone, services: map[string]*serviceLoads{}}
}

// service returns the state of a service, and creates it if necessary.
func (c *collector) service(name string) *serviceLoads {
	s := c.services[name]
	if s == nil {
		s = &serviceLoads{
			reporters: map[netip.AddrPort]*reporterState{},
			summaries: map[summaryKey]*summaryState{},
			totals:    map[uint32]*total{},
		}
		c.services[name] = s
	}
	return s
}

// handleReport replaces the previous report of a node and returns the totals of the backends in its last complete report.
func (c *collector) handleReport(now time.Time, from netip.AddrPort, r *report) *response {
	s := c.service(r.service)
	s.sweep(now)
	state := s.reporters[from]
	if state == nil {
		state = &reporterState{}
		s.reporters[from] = state
	}
	s.replaceLocal(now, state, r.loads)
	if r.complete {
		state.backends = backendsOf(r.loads)
		state.backendsHash = hashBackends(state.backends)
	}
	return &response{service: r.service, backendsHash: state.backendsHash, loads: s.totalsOf(state.backends)}
}

// handleSummary replaces the previous summary with the same zone, sender and chunk.
func (c *collector) handleSummary(now time.Time, from netip.AddrPort, m *summary) {
	if m.zone == c.zone {
		return
	}
	s := c.service(m.service)
	s.sweep(now)
	key := summaryKey{zone: m.zone, from: from, chunk: m.chunk}
	if former := s.summaries[key]; former != nil {
		s.addRemote(former.loads, -1)
	}
	s.summaries[key] = &summaryState{at: now, loads: m.loads}
	s.addRemote(m.loads, 1)
}

// dueSummaries returns the summary of the collector's zone in chunks, or nil if the last one is less than an Interval old.
func (c *collector) dueSummaries(now time.Time, service string) []*summary {
	s := c.service(service)
	if now.Sub(s.summarizedAt) < Interval {
		return nil
	}
	s.summarizedAt = now
	var loads []admission.BackendLoad
	for backend, t := range s.totals {
		if t.local.inFlight > 0 || t.local.unanswered > 0 {
			loads = append(loads, admission.BackendLoad{
				Backend:    backend,
				InFlight:   t.local.inFlight,
				Batch:      t.local.batch,
				Unanswered: t.local.unanswered,
				Pending:    t.local.pending,
			})
		}
	}
	slices.SortFunc(loads, func(a, b admission.BackendLoad) int { return cmp.Compare(a.Backend, b.Backend) })
	var summaries []*summary
	for chunk := range slices.Chunk(loads, summaryChunkSize) {
		summaries = append(summaries, &summary{service: service, zone: c.zone, loads: chunk, chunk: uint16(len(summaries))})
	}
	return summaries
}
