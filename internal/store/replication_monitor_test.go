package store

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"nickelline/internal/chain"
)

func TestLaggingReplicaIsLogged(t *testing.T) {
	core, logged := observer.New(zapcore.WarnLevel)
	m := newReplicationMonitor(zap.New(core))
	began := time.Unix(1000, 0)
	sessions := func() []chain.SessionStatus { return []chain.SessionStatus{{Role: chain.RoleUpstream, Peer: 7}} }
	for _, step := range []struct {
		at      time.Duration
		lag     replicationLag
		logged  int // messages so far
		longest time.Duration
	}{
		{0, lagNotCaughtUp, 0, 0},
		{lagReportAfter - time.Second, lagNotCaughtUp, 0, lagReportAfter - time.Second},
		{lagReportAfter, lagNotCaughtUp, 1, lagReportAfter},
		{lagReportAfter + time.Second, lagNotCaughtUp, 1, lagReportAfter + time.Second},
		{lagReportAfter + lagReportInterval, lagNotCaughtUp, 2, lagReportAfter + lagReportInterval},
		{lagReportAfter + lagReportInterval + time.Second, lagNotComplete, 2, 0},
		{lagReportAfter + lagReportInterval + 2*time.Second, "", 2, 0},
		{time.Hour, lagNotReady, 2, 0},
	} {
		now := began.Add(step.at)
		m.observe(now, 3, step.lag, sessions)
		if got := logged.Len(); got != step.logged {
			t.Errorf("after %v with lag %q: got %d log messages, want %d", step.at, step.lag, got, step.logged)
		}
		wantCount := 1
		if step.lag == "" {
			wantCount = 0
		}
		if count, longest := m.longest(now); count != wantCount || longest != step.longest {
			t.Errorf("after %v with lag %q: got %d replicas for %v, want %d for %v", step.at, step.lag, count, longest, wantCount, step.longest)
		}
	}
	if text := logged.All()[0].ContextMap()["sessions"]; !strings.Contains(text.([]any)[0].(string), "upstream 7") {
		t.Errorf("sessions in the log: got %v, want that with the upstream replica 7", text)
	}
	m.forget(func(uint32) bool { return false })
	if count, _ := m.longest(began); count != 0 {
		t.Errorf("lagging replicas of partitions that are not hosted: got %d, want 0", count)
	}
}
