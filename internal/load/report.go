package load

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/peer"
)

// reportedPool is a pool with the state of its reports.
type reportedPool struct {
	pool                 Pool
	backends             []uint32 // backends of the last complete report
	backendsHash         uint32   // 0: the collector needs a complete report
	reportsSinceComplete int      // reports since the last complete one
	// responseArrived is closed when the next response arrives; nil: no caller waits for a response.
	responseArrived chan struct{}
	reportedAt      time.Time
}

// reportsPerComplete is the number of reports after which a complete one is sent, since the list of backends may have
// changed.
const reportsPerComplete = 12

// AddPool adds the pool of a service, whose loads are reported from then on.
func (s *Service) AddPool(service string, pool Pool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pools[service] = &reportedPool{pool: pool}
}

// reportAll reports the pools whose last report is at least half an Interval old.
func (s *Service) reportAll(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for service, reported := range s.pools {
		if now.Sub(reported.reportedAt) >= Interval/2 {
			s.report(now, service, reported, false)
		}
	}
}

// report sends the loads of a pool to the collector, and returns whether a response can be expected. The caller holds the
// mutex.
func (s *Service) report(now time.Time, service string, reported *reportedPool, oneWay bool) bool {
	complete := !oneWay && (reported.backendsHash == 0 || reported.reportsSinceComplete >= reportsPerComplete)
	loads, needed := reported.pool.LocalLoads(now, complete)
	if !needed {
		return false
	}
	to, ok := s.local.target(now, s.candidates.inZone(s.options.Zone))
	if !ok {
		return false
	}
	reported.reportedAt = now
	reported.reportsSinceComplete++
	if complete {
		reported.backends, reported.reportsSinceComplete = backendsOf(loads), 0
		reported.backendsHash = hashBackends(reported.backends)
	}
	if !oneWay {
		s.local.messageSent()
	}
	s.send(to, kindReport, func() ([]byte, error) {
		return encodeReport(&report{service: service, loads: loads, complete: complete, oneWay: oneWay})
	})
	return !oneWay && s.local.isResponsive()
}

// Refresh requests the totals of a service from the collector. It returns when the response has arrived,
// after maxRefreshWait, or when the context ends.
func (s *Service) Refresh(ctx context.Context, service string) {
	responseArrived := s.requestTotals(service)
	if responseArrived == nil {
		return
	}
	timer := time.NewTimer(maxRefreshWait)
	defer timer.Stop()
	select {
	case <-responseArrived:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestTotals sends a report. The returned channel is closed when the response arrives; it is nil if no response can be
// expected.
func (s *Service) requestTotals(service string) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reported := s.pools[service]
	if reported == nil || !s.report(time.Now(), service, reported, false) {
		return nil
	}
	if reported.responseArrived == nil {
		reported.responseArrived = make(chan struct{})
	}
	return reported.responseArrived
}

// Announce reports the loads of a service after a new request. It neither requests nor waits for a response.
func (s *Service) Announce(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if reported := s.pools[service]; reported != nil {
		s.report(time.Now(), service, reported, true)
	}
}

// handleResponse passes the totals of a response to the pool. A response for another list of backends than that of the last
// complete report is ignored.
func (s *Service) handleResponse(from netip.AddrPort, m peer.Message) {
	totals, err := decodeResponse(m.Body)
	if err != nil {
		s.options.Log.Debug("decode load response failed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.local.messageReceived()
	reported := s.pools[totals.service]
	if reported == nil {
		return
	}
	if reported.responseArrived != nil {
		close(reported.responseArrived)
		reported.responseArrived = nil
	}
	switch {
	case totals.backendsHash == 0:
		reported.backendsHash = 0
	case totals.backendsHash == reported.backendsHash && len(totals.loads) == len(reported.backends):
		for i := range totals.loads {
			totals.loads[i].Backend = reported.backends[i]
		}
		reported.pool.SetTotalLoads(time.Now(), totals.loads)
	}
}
