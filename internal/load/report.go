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
	pool          Pool
	backends      []uint32 // backends of the last complete report
	backendsHash  uint32   // 0: the collector needs a complete report
	sinceComplete int      // reports since the last complete one
	// answered is closed when the next response comes; nil: nobody waits for one.
	answered   chan struct{}
	reportedAt time.Time
}

// reportsPerComplete is how many reports are sent for one that names all backends, as their list may have changed.
const reportsPerComplete = 12

// AddPool adds the pool of a service to the reports.
func (s *Service) AddPool(service string, pool Pool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pools[service] = &reportedPool{pool: pool}
}

// reportAll reports the pools that have not just been reported.
func (s *Service) reportAll(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for service, reported := range s.pools {
		if now.Sub(reported.reportedAt) >= Interval/2 {
			s.report(now, service, reported, false)
		}
	}
}

// report sends a pool's loads to the collector. It reports whether a response can be expected.
func (s *Service) report(now time.Time, service string, reported *reportedPool, oneWay bool) bool {
	complete := !oneWay && (reported.backendsHash == 0 || reported.sinceComplete >= reportsPerComplete)
	loads, wanted := reported.pool.Report(now, complete)
	if !wanted {
		return false
	}
	to, ok := s.local.target(now, s.candidates.inZone(s.options.Zone))
	if !ok {
		return false
	}
	reported.reportedAt = now
	reported.sinceComplete++
	if complete {
		reported.backends, reported.sinceComplete = backendsOf(loads), 0
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

// Refresh asks the collector for the totals of a service, and returns when they have come, or after maxRefreshWait.
func (s *Service) Refresh(ctx context.Context, service string) {
	answered := s.requestTotals(service)
	if answered == nil {
		return
	}
	timer := time.NewTimer(maxRefreshWait)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestTotals sends a report. The returned channel is closed when the response comes; it is nil if none can be
// expected.
func (s *Service) requestTotals(service string) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reported := s.pools[service]
	if reported == nil || !s.report(time.Now(), service, reported, false) {
		return nil
	}
	if reported.answered == nil {
		reported.answered = make(chan struct{})
	}
	return reported.answered
}

// Announce reports a new request at once, without waiting for a response.
func (s *Service) Announce(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if reported := s.pools[service]; reported != nil {
		s.report(time.Now(), service, reported, true)
	}
}

// handleResponse passes the totals on to the pool.
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
	if reported.answered != nil {
		close(reported.answered)
		reported.answered = nil
	}
	switch {
	case totals.backendsHash == 0:
		reported.backendsHash = 0
	case totals.backendsHash == reported.backendsHash && len(totals.loads) == len(reported.backends):
		for i := range totals.loads {
			totals.loads[i].Backend = reported.backends[i]
		}
		reported.pool.Share(time.Now(), totals.loads)
	}
}
