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
	// learnCheckInterval is how often a learner that has caught up checks that it still is.
	learnCheckInterval = time.Second
	// learnRetryPause is the pause before a learner tries another member.
	learnRetryPause = 100 * time.Millisecond
	// The timeout of an attempt to catch up from one member is minLearnTimeout at first, because the member may be gone. It doubles
	// with each round over the members, up to maxLearnTimeout, because there may be much data to send.
	minLearnTimeout = 1500 * time.Millisecond
	maxLearnTimeout = 12 * time.Second
	// maxLearnDoublings bounds the exponent, so that the timeout does not overflow.
	maxLearnDoublings = 8
)

// setLearner starts or stops catching up from the members as a learner. The caller holds the service's mutex.
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

// followMembers keeps the learner caught up until ctx ends: whenever it is not caught up, it tries the next member.
func (h *hostedPartition) followMembers(ctx context.Context) {
	self := h.service.options.Self
	for attempt := 0; ctx.Err() == nil; {
		members := sameZoneLast(h.service.membersOf(h.partition.number), self.Zone)
		source, ok := nextLearnSource(members, self.Address, attempt)
		if ok && !h.node.CaughtUp() {
			h.learnFrom(ctx, source)
			attempt++
		}
		wait := learnRetryPause
		if h.node.CaughtUp() {
			attempt = 0
			wait = learnCheckInterval
		}
		pause.For(ctx, wait)
	}
}

// learnSource is a member from which a learner catches up, and the timeout for that.
type learnSource struct {
	address netip.AddrPort
	timeout time.Duration
}

// nextLearnSource returns the source for an attempt, counted from 0: the members in turn, beginning at the tail. A member with this
// store's own address is the replica that this process had before it lost its disk, and is left out. It returns false if there is
// no other member.
func nextLearnSource(members []view.Member, self netip.AddrPort, attempt int) (learnSource, bool) {
	var others []netip.AddrPort
	for _, m := range slices.Backward(members) {
		if m.Address != self {
			others = append(others, m.Address)
		}
	}
	if len(others) == 0 {
		return learnSource{}, false
	}
	round := min(attempt/len(others), maxLearnDoublings)
	return learnSource{
		address: others[attempt%len(others)],
		timeout: min(minLearnTimeout<<round, maxLearnTimeout),
	}, true
}

// sameZoneLast returns the members with those of a zone moved to the end, where nextLearnSource begins, and otherwise in the same
// order.
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
	h.service.requestReport()
}
