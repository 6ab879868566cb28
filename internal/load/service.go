package load

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/member"
	"nickelline/internal/peer"
)

// Pool is what a node has at the backends of one service. It is an *admission.Pool.
type Pool interface {
	// Report gives the own loads, unless there is nothing to be told of or nobody needs to be told. All backends are named in a
	// complete report, otherwise those at which there is something new.
	Report(now time.Time, complete bool) (loads []admission.BackendLoad, wanted bool)
	// Share takes what all nodes have, in answer to the last report.
	Share(now time.Time, loads []admission.BackendLoad)
}

// Options set up a Service.
type Options struct {
	Zone      string
	Transport *peer.Transport
	Members   func() *member.Table
	// PreferredRole is that of the processes which collect if there are any in a zone.
	PreferredRole string
	Log           *zap.Logger
}

// Service reports the loads of a node, and collects those of others if it is asked to.
type Service struct {
	options    Options
	candidates *candidates

	mutex     sync.Mutex
	collector *collector
	far       map[string]*choice // collectors of other zones
	own       choice
	pools     map[string]*reported
}

// reported is a pool whose loads are reported.
type reported struct {
	pool  Pool
	uses  []uint32 // backends of the last complete report
	table uint32   // what stands for them; 0: the collector needs a complete report
	sent  int      // reports since the last complete one
	// answered is closed when the next answer comes; nil: nobody waits for one.
	answered   chan struct{}
	reportedAt time.Time
}

// completeEvery is how many reports go to one that names all backends: the list may have changed.
const completeEvery = 12

// longestWait is how long a request waits for news of the backends. Processes of a zone are near each other.
const longestWait = 4 * time.Millisecond

// New makes a service and sets its handlers on the transport, which must not be started yet.
func New(o Options) *Service {
	s := &Service{
		options:    o,
		candidates: &candidates{members: o.Members, preferred: o.PreferredRole},
		collector:  newCollector(o.Zone),
		far:        map[string]*choice{},
		pools:      map[string]*reported{},
	}
	o.Transport.HandleDatagram(kindReport, s.takeReport)
	o.Transport.HandleDatagram(kindAnswer, s.takeAnswer)
	o.Transport.HandleDatagram(kindSummary, s.takeSummary)
	return s
}

// Add has the loads of a service's pool reported.
func (s *Service) Add(service string, pool Pool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pools[service] = &reported{pool: pool}
}

// Run reports until ctx ends. A process that only collects need not run.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reportAll(time.Now())
		}
	}
}

func (s *Service) reportAll(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for service, r := range s.pools {
		if now.Sub(r.reportedAt) >= Interval/2 {
			s.report(now, service, r, false)
		}
	}
}

// report sends a pool's loads to the collector. It tells whether an answer can be expected.
func (s *Service) report(now time.Time, service string, r *reported, unasking bool) bool {
	complete := !unasking && (r.table == 0 || r.sent >= completeEvery)
	loads, wanted := r.pool.Report(now, complete)
	if !wanted {
		return false
	}
	to, ok := s.own.to(now, s.candidates.of(s.options.Zone))
	if !ok {
		return false
	}
	r.reportedAt = now
	r.sent++
	if complete {
		r.uses, r.sent = backendsOf(loads), 0
		r.table = tableOf(r.uses)
	}
	if !unasking {
		s.own.asked()
	}
	s.send(to, kindReport, func() ([]byte, error) {
		return encodeReport(&report{service: service, loads: loads, complete: complete, unasking: unasking})
	})
	return !unasking && s.own.answers()
}

// Refresh asks for what all nodes have at the backends of a service, and returns when that has come, or soon.
func (s *Service) Refresh(ctx context.Context, service string) {
	answered := s.ask(service)
	if answered == nil {
		return
	}
	timer := time.NewTimer(longestWait)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask sends a report. The channel is closed when the answer comes; it is nil if none is to be expected.
func (s *Service) ask(service string) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.pools[service]
	if r == nil || !s.report(time.Now(), service, r, false) {
		return nil
	}
	if r.answered == nil {
		r.answered = make(chan struct{})
	}
	return r.answered
}

// Tell reports a new request, so that other nodes know of it at once.
func (s *Service) Tell(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r := s.pools[service]; r != nil {
		s.report(time.Now(), service, r, true)
	}
}

func (s *Service) send(to netip.AddrPort, kind peer.Kind, encode func() ([]byte, error)) {
	body, err := encode()
	if err != nil {
		s.options.Log.Error("load message", zap.Error(err))
		return
	}
	s.options.Transport.Datagram(to, peer.Message{Kind: kind, Body: body})
}

// takeReport answers a node's report, and passes the zone's sums on when that is due.
func (s *Service) takeReport(from netip.AddrPort, m peer.Message) {
	r, err := decodeReport(m.Body)
	if err != nil {
		s.options.Log.Debug("load report", zap.Stringer("from", from), zap.Error(err))
		return
	}
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := s.collector.takeReport(now, from, r)
	if !r.unasking {
		s.send(from, kindAnswer, func() ([]byte, error) { return encodeAnswer(reply) })
	}
	for _, sum := range s.collector.dueSummaries(now, r.service) {
		s.spread(now, sum)
	}
}

// spread sends a summary to the collectors of the other zones.
func (s *Service) spread(now time.Time, sum *summary) {
	for _, zone := range s.candidates.zones() {
		if zone == s.options.Zone {
			continue
		}
		if s.far[zone] == nil {
			s.far[zone] = &choice{}
		}
		to, ok := s.far[zone].to(now, s.candidates.of(zone))
		if ok {
			s.far[zone].asked()
			s.send(to, kindSummary, func() ([]byte, error) { return encodeSummary(sum) })
		}
	}
}

func (s *Service) takeSummary(from netip.AddrPort, m peer.Message) {
	sum, err := decodeSummary(m.Body)
	if err != nil {
		s.options.Log.Debug("load summary", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if far := s.far[sum.zone]; far != nil {
		far.heard()
	}
	s.collector.takeSummary(time.Now(), from, sum)
}

func (s *Service) takeAnswer(from netip.AddrPort, m peer.Message) {
	a, err := decodeAnswer(m.Body)
	if err != nil {
		s.options.Log.Debug("load answer", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.own.heard()
	r := s.pools[a.service]
	if r == nil {
		return
	}
	if r.answered != nil {
		close(r.answered)
		r.answered = nil
	}
	switch {
	case a.table == 0:
		r.table = 0
	case a.table == r.table && len(a.loads) == len(r.uses):
		for i := range a.loads {
			a.loads[i].Backend = r.uses[i]
		}
		r.pool.Share(time.Now(), a.loads)
	}
}
