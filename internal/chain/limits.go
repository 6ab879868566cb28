package chain

import "time"

// Timing and sizes of the protocol between replicas.
const (
	retryInterval   = 250 * time.Millisecond // until a session without progress is replaced, doubled twice
	retryDoublings  = 2
	slowestLink     = 500 << 10              // bytes a second; slower links are retried too early
	attachInterval  = 500 * time.Millisecond // between requests for a session
	learnerInterval = time.Second            // between a learner's requests, also while it has a session
	learnerAttempts = 8                      // sessions without progress until a learner is dropped
	snapshotWindow  = 2                      // chunks of a snapshot that are sent and not acknowledged
	batchEntries    = 4096                   // entries in one message
	generationShift = 32                     // barrier numbers are ordered by the generation of the head, then by its count
)

// limits bound memory and the data under way, in bytes.
type limits struct {
	window        uint64 // of entries sent and not on the receiver's disk
	batch         uint64 // of entries in one message, if there is more than one
	snapshotChunk uint64 // of a snapshot in one message
	uncommitted   uint64 // appended at the head and not committed; further proposals wait
	waiting       int    // of proposals that wait; further ones are refused
	retained      uint64 // of committed entries kept in memory for new sessions
	lagging       uint64 // the same, while a receiver lags behind
}

// defaultLimits returns the limits outside of tests.
func defaultLimits() limits {
	return limits{
		window:        1 << 20,
		batch:         256 << 10,
		snapshotChunk: 256 << 10,
		uncommitted:   8 << 20,
		waiting:       16 << 20,
		retained:      1 << 20,
		lagging:       4 << 20,
	}
}
