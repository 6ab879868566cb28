package store

import (
	"time"

	"go.uber.org/zap"

	"nickelline/internal/chain"
)

const (
	// lagReportAfter is how long a replica may lag before that is logged. It is longer than an ordinary change of the view.
	lagReportAfter = 5 * time.Second
	// lagReportInterval is the time between two log messages about the same replica.
	lagReportInterval = 30 * time.Second
)

// replicationLag says in which way a replica on this store keeps its partition from being fully replicated. It is empty if it
// does not.
type replicationLag string

const (
	// lagNotReady: the replica is the head, and not all members of the view are connected.
	lagNotReady replicationLag = "head lacks members"
	// lagNotComplete: the replica is a member that does not have every committed entry yet.
	lagNotComplete replicationLag = "member is not complete"
	// lagNotCaughtUp: the replica is a learner that has not caught up.
	lagNotCaughtUp replicationLag = "learner has not caught up"
)

// lagOf returns the lag of a replica with a status.
func lagOf(node *chain.Node, status *chain.Status, isMember bool) replicationLag {
	switch {
	case isMember && !status.Complete:
		return lagNotComplete
	case isMember && node.IsHead() && !status.Ready:
		return lagNotReady
	case !isMember && !status.CaughtUp:
		return lagNotCaughtUp
	}
	return ""
}

// replicationMonitor records since when the replicas on this store lag, and logs those that do so for long. The mutex of the
// service guards it.
type replicationMonitor struct {
	log     *zap.Logger
	lagging map[uint32]laggingReplica // by partition
}

// laggingReplica is a replica that lags.
type laggingReplica struct {
	lag      replicationLag
	since    time.Time
	loggedAt time.Time // zero if it has not been logged
}

func newReplicationMonitor(log *zap.Logger) *replicationMonitor {
	return &replicationMonitor{log: log, lagging: map[uint32]laggingReplica{}}
}

// observe records whether the replica of a partition lags. It calls sessions only if it logs.
func (m *replicationMonitor) observe(now time.Time, partition uint32, lag replicationLag, sessions func() []chain.SessionStatus) {
	if lag == "" {
		delete(m.lagging, partition)
		return
	}
	replica := m.lagging[partition]
	if replica.lag != lag {
		replica = laggingReplica{lag: lag, since: now}
	}
	if now.Sub(replica.since) >= lagReportAfter && now.Sub(replica.loggedAt) >= lagReportInterval {
		replica.loggedAt = now
		m.log.Warn("partition is not fully replicated", zap.Uint32("partition", partition), zap.String("why", string(lag)),
			zap.Duration("for", now.Sub(replica.since)), zap.Stringers("sessions", sessions()))
	}
	m.lagging[partition] = replica
}

// forget drops the partitions that this store no longer has.
func (m *replicationMonitor) forget(isHosted func(partition uint32) bool) {
	for partition := range m.lagging {
		if !isHosted(partition) {
			delete(m.lagging, partition)
		}
	}
}

// longest returns how many replicas lag, and for how long the one that has lagged longest.
func (m *replicationMonitor) longest(now time.Time) (count int, longest time.Duration) {
	for _, replica := range m.lagging {
		longest = max(longest, now.Sub(replica.since))
	}
	return len(m.lagging), longest
}
