package load

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/peer"
)

// handleReport handles the report of a node: it sends the response, and the summaries to other zones if they are due.
func (s *Service) handleReport(from netip.AddrPort, m peer.Message) {
	r, err := decodeReport(m.Body)
	if err != nil {
		s.options.Log.Debug("decode load report failed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	totals := s.collector.handleReport(now, from, r)
	if !r.oneWay {
		s.send(from, kindResponse, func() ([]byte, error) { return encodeResponse(totals) })
	}
	for _, zoneSummary := range s.collector.dueSummaries(now, r.service) {
		s.sendSummary(now, zoneSummary)
	}
}

// sendSummary sends a summary to the collectors of all other zones. The caller holds the mutex.
func (s *Service) sendSummary(now time.Time, zoneSummary *summary) {
	for _, zone := range s.candidates.zones() {
		if zone == s.options.Zone {
			continue
		}
		if s.remote[zone] == nil {
			s.remote[zone] = &collectorChoice{}
		}
		to, ok := s.remote[zone].target(now, s.candidates.inZone(zone))
		if ok {
			s.remote[zone].messageSent()
			s.send(to, kindSummary, func() ([]byte, error) { return encodeSummary(zoneSummary) })
		}
	}
}

// handleSummary handles a summary from the collector of another zone.
func (s *Service) handleSummary(from netip.AddrPort, m peer.Message) {
	zoneSummary, err := decodeSummary(m.Body)
	if err != nil {
		s.options.Log.Debug("decode load summary failed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if choice := s.remote[zoneSummary.zone]; choice != nil {
		choice.messageReceived()
	}
	s.collector.handleSummary(time.Now(), from, zoneSummary)
}
