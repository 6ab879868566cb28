package chain

import "time"

// Timing and sizes of the protocol between replicas.
const (
	retryInterval         = 250 * time.Millisecond // until a session without progress is replaced, doubled with each attempt
	maxRetryDoublings     = 2                      // how often retryInterval is doubled at most
	minLinkBytesPerSecond = 500 << 10              // on slower links, sessions are replaced before the bytes in flight arrive
	attachInterval        = 500 * time.Millisecond // between requests for a session
	learnerInterval       = time.Second            // between a learner's requests, which go on while it has a session
	learnerAttempts       = 8                      // sessions without progress until a learner is dropped
	snapshotWindow        = 2                      // chunks of a snapshot that may be sent and not acknowledged
	maxBatchEntries       = 4096                   // in one message
	generationShift       = 32                     // barrier rounds are ordered by the head's generation, then by the count in these low bits
)

// limits bound the memory used and the data in flight, in bytes.
type limits struct {
	window             uint64 // entries sent and not on the receiver's disk
	batch              uint64 // entries in one message, if there is more than one
	snapshotChunk      uint64 // part of a snapshot in one message
	uncommitted        uint64 // commands appended at the head and not committed; further proposals wait
	waiting            int    // commands of proposals that wait; further proposals are rejected
	retained           uint64 // committed entries kept in memory for new sessions
	retainedForLagging uint64 // the same, while a receiver that lags behind needs them
}

// defaultLimits returns the limits outside of tests.
func defaultLimits() limits {
	return limits{
		window:             1 << 20,
		batch:              256 << 10,
		snapshotChunk:      256 << 10,
		uncommitted:        8 << 20,
		waiting:            16 << 20,
		retained:           1 << 20,
		retainedForLagging: 4 << 20,
	}
}
