package store

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/pause"
	"nickelline/internal/view"
)

const (
	// learnCheckInterval is how often a learner that is caught up checks whether it still is.
	learnCheckInterval = time.Second
	// learnRetryPause is the pause before a learner asks another member.
	learnRetryPause = 100 * time.Millisecond
	// A learner tries to catch up from one member for minLearnTimeout at first. The time doubles with each round over the members,
	// up to maxLearnTimeout: a member may be gone, or there may be much to send.
	minLearnTimeout = 1500 * time.Millisecond
	maxLearnTimeout = 12 * time.Second
	// maxLearnDoublings bounds the exponent, so that the time does not overflow.
	maxLearnDoublings = 8
)

// setLearner has the replica follow the members as a learner, or ends that. The caller holds the service's mutex.
func (h *hostedPartition) setLearner(isLearner bool) {
	switch {
	case isLearner && h.stopLearning == nil:
		ctx, cancel := context.WithCancel(h.service.ctx)
		h.stopLearning = cancel
		go h.followMembers(ctx)
	case !isLearner && h.stopLearning != nil:
		h.stopLearning()
		h.stopLearning = nil
	}
}

// followMembers keeps the learner caught up until ctx ends: whenever it is not, it asks the next member.
func (h *hostedPartition) followMembers(ctx context.Context) {
	self := h.service.options.Self
	for try := 0; ctx.Err() == nil; {
		members := sameZoneLast(h.service.membersOf(h.partition.number), self.Zone)
		source, ok := nextLearnSource(members, self.Address, try)
		if ok && !h.node.CaughtUp() {
			h.learnFrom(ctx, source)
			try++
		}
		wait := learnRetryPause
		if h.node.CaughtUp() {
			try = 0
			wait = learnCheckInterval
		}
		pause.For(ctx, wait)
	}
}

// learnSource is a member that a learner catches up from, and how long it tries.
type learnSource struct {
	address netip.AddrPort
	timeout time.Duration
}

// nextLearnSource returns the source of a try, counted from 0: the members in turn, from the tail on. A member at the own address is
// the replica that this process had before it lost its disk, and is left out. It returns false if there is no other.
func nextLearnSource(members []view.Member, self netip.AddrPort, try int) (learnSource, bool) {
	var others []netip.AddrPort
	for _, m := range slices.Backward(members) {
		if m.Address != self {
			others = append(others, m.Address)
		}
	}
	if len(others) == 0 {
		return learnSource{}, false
	}
	round := min(try/len(others), maxLearnDoublings)
	return learnSource{
		address: others[try%len(others)],
		timeout: min(minLearnTimeout<<round, maxLearnTimeout),
	}, true
}

// sameZoneLast returns the members ordered so that those of a zone come last, and otherwise as they were.
func sameZoneLast(members []view.Member, zone string) []view.Member {
	inZone := func(m view.Member) bool { return m.Zone == zone }
	notInZone := func(m view.Member) bool { return m.Zone != zone }
	others := slices.DeleteFunc(slices.Clone(members), inZone)
	same := slices.DeleteFunc(slices.Clone(members), notInZone)
	return append(others, same...)
}

// learnFrom catches up from a member, or fails after the source's timeout.
func (h *hostedPartition) learnFrom(ctx context.Context, source learnSource) {
	ctx, cancel := context.WithTimeout(ctx, source.timeout)
	defer cancel()
	if err := h.node.Learn(ctx, source.address); err != nil {
		h.service.options.Log.Debug("learn from member failed", zap.Uint32("partition", h.partition.number),
			zap.Stringer("peer", source.address), zap.Error(err))
		return
	}
	h.service.reportSoon()
}
