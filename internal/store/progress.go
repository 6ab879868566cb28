package store

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/control"
	"nickelline/internal/pause"
)

const (
	// reportTimeout bounds one report.
	reportTimeout = 500 * time.Millisecond
	// reportDelay is how long changes are gathered before they are reported together, and the pause before another control node is
	// tried.
	reportDelay = 50 * time.Millisecond
	// maxReportTries bounds the control nodes that are tried for one report.
	maxReportTries = 3
)

// Run reports the progress of the partitions to the control nodes, at intervals and after changes, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.changed:
			pause.For(ctx, reportDelay)
		}
		s.report(ctx)
		timer.Reset(s.options.ReportInterval)
	}
}

// reportSoon has Run report a change. It does not block.
func (s *Service) reportSoon() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// report reports to the first control node that answers.
func (s *Service) report(ctx context.Context) {
	report := s.currentReport()
	for try, to := range s.options.ControlNodes() {
		if try == maxReportTries || ctx.Err() != nil {
			return
		}
		if s.sendReport(ctx, to, report) {
			return
		}
		pause.For(ctx, reportDelay)
	}
}

func (s *Service) sendReport(ctx context.Context, to netip.AddrPort, report control.Report) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := control.ReportReplicas(ctx, s.options.Transport, to, report)
	if err != nil {
		s.options.Log.Debug("report progress failed", zap.Stringer("peer", to), zap.Error(err))
	}
	return err == nil
}

// isImpaired reports whether the disk of any partition does not work properly.
func (s *Service) isImpaired() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, hosted := range s.partitions {
		if hosted.node.Impaired() {
			return true
		}
	}
	return false
}

// currentReport returns the progress of the partitions, or that the store is impaired, by which it is taken out of the views.
func (s *Service) currentReport() control.Report {
	report := control.Report{
		Store:    control.Store{Name: s.options.Self.Name, Replica: uint64(s.options.Self.Replica)},
		Impaired: s.isImpaired(),
	}
	if !report.Impaired {
		report.Chains = s.progress()
	}
	return report
}

// progress returns how far each partition is here.
func (s *Service) progress() []control.ChainStatus {
	var chains []control.ChainStatus
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number, hosted := range s.partitions {
		status := hosted.node.Status()
		chains = append(chains, control.ChainStatus{
			Chain:    number,
			Epoch:    status.Epoch,
			Complete: status.Complete,
			CaughtUp: status.CaughtUp,
			Running:  uint32(hosted.partition.running.Load()),
		})
	}
	return chains
}
