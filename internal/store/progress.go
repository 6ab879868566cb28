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
	// reportTimeout bounds the time to send one report.
	reportTimeout = 500 * time.Millisecond
	// reportDelay is how long changes are collected before they are reported together, and the pause before the next control node is
	// tried.
	reportDelay = 50 * time.Millisecond
	// maxReportAttempts bounds the number of control nodes that are tried for one report.
	maxReportAttempts = 3
)

// Run reports the progress of the partitions to the control nodes, at intervals and after changes, until ctx ends. At the same
// intervals it tries again what the disk has not done.
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
		s.retryDisk()
		s.report(ctx)
		timer.Reset(s.options.ReportInterval)
	}
}

// requestReport makes Run report a change. It does not block.
func (s *Service) requestReport() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// report sends a report to the first control node that responds.
func (s *Service) report(ctx context.Context) {
	report := s.currentReport()
	for attempt, to := range s.options.ControlNodes() {
		if attempt == maxReportAttempts || ctx.Err() != nil {
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

// isImpaired reports whether the disk of any partition does not work properly. That includes partitions that could not be opened: a
// report without them would keep their chains waiting for this store.
func (s *Service) isImpaired() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unopened.err() != nil {
		return true
	}
	for _, hosted := range s.partitions {
		if hosted.node.Impaired() {
			return true
		}
	}
	return false
}

// currentReport returns the progress of the partitions, or a report that the store is impaired, which removes it from the views.
func (s *Service) currentReport() control.Report {
	report := control.Report{
		Store:       control.Store{Name: s.options.Self.Name, Replica: uint64(s.options.Self.Replica)},
		Impaired:    s.isImpaired(),
		DiskTrouble: control.NewDiskTrouble(s.DiskStatus(), time.Now()),
	}
	if !report.Impaired {
		report.Chains = s.progress()
	}
	return report
}

// progress returns the status of each partition on this store, and passes it to the monitor.
func (s *Service) progress() []control.ChainStatus {
	var chains []control.ChainStatus
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.monitor.forget(func(partition uint32) bool { return s.partitions[partition] != nil })
	for number, hosted := range s.partitions {
		status := hosted.node.Status()
		isMember := hosted.node.View().Has(s.options.Self.Replica)
		s.monitor.observe(now, number, lagOf(hosted.node, &status, isMember), hosted.node.Sessions)
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
