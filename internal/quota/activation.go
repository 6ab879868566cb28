package quota

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/peer"
)

// HeadStatus tells whether this node is the head of the control chain, and otherwise which node is.
type HeadStatus interface {
	// Fresh reports whether a barrier younger than HeadProofLifetime proves that this node is the head.
	Fresh() bool
	// Epoch returns the epoch of the current view of the control chain.
	Epoch() uint64
	// Head returns the address of the head, and false if this node does not know it.
	Head() (netip.AddrPort, bool)
}

// ObserveView handles a new view of the control chain. A node that remains the head from one epoch to the next keeps its
// allocator with all leases; any other head starts a new allocator.
func (s *Service) ObserveView(epoch uint64, isHead bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !isHead:
		s.allocator = nil
	case s.allocator != nil && epoch == s.epoch+1:
		s.epoch = epoch
	default:
		s.startActivation()
	}
}

// activateSoon starts the allocator of this node if it turns out to be the head.
func (s *Service) activateSoon() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startActivation()
}

// startActivation schedules activate unless it is scheduled already. The caller holds the mutex.
func (s *Service) startActivation() {
	if !s.activating {
		s.activating = true
		time.AfterFunc(activationInterval, func() { s.activate(activationAttempts) })
	}
}

// activate starts the allocator if there is a proof that this node is the head. Otherwise it tries again after
// activationInterval, up to the given number of attempts in all.
func (s *Service) activate(attempts int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.activeAllocator() != nil {
		s.activating = false
		return
	}
	s.updater.startUpdates()
	if attempts <= 1 {
		s.activating = false
		return
	}
	time.AfterFunc(activationInterval, func() { s.activate(attempts - 1) })
}

// activeAllocator returns the allocator while this node is proven to be the head. It returns nil on other nodes and before
// the allocator has started. The caller holds the mutex.
func (s *Service) activeAllocator() *Allocator {
	if s.allocator == nil || !s.headStatus.Fresh() || s.epoch != s.headStatus.Epoch() {
		return nil
	}
	return s.allocator
}

// startAllocator starts the allocator of an epoch. The change of the registry that fences off former allocators has been
// committed. The caller holds the mutex.
func (s *Service) startAllocator(now time.Time, epoch uint64, registry RegistryState, reserves []string) {
	s.log.Info("quota allocator started", zap.Uint64("epoch", epoch), zap.Int("leaseholders", len(registry.Leaseholders)),
		zap.Int("reserves", len(reserves)))
	s.allocator = NewAllocator(s.policy, s.limits, registry, reserves, now)
	s.allocator.isDown = s.isDown
	s.epoch = epoch
	s.announce(now, s.allocator)
}

// announce sends an announcement of this allocator to the proxies that have not yet reclaimed their leases, and repeats it
// every announceInterval until the grace period has ended. The caller holds the mutex.
func (s *Service) announce(now time.Time, a *Allocator) {
	if s.allocator != a {
		return
	}
	addresses := a.Unreclaimed(now)
	if len(addresses) == 0 {
		stats := a.Stats(now)
		s.log.Info("quota grace period ended", zap.Uint64("epoch", s.epoch), zap.Int("unreclaimed", stats.Unreclaimed),
			zap.Float64("highestLevel", stats.HighestLevel), zap.Float64("granted", stats.Granted),
			zap.Float64("returned", stats.Returned))
		return
	}
	body, err := encodeAnnouncement(s.epoch)
	if err != nil {
		s.log.Error("encode quota announcement failed", zap.Error(err))
		return
	}
	for _, address := range addresses {
		s.transport.SendDatagram(address, peer.Message{Kind: kindAnnounce, Body: body})
	}
	time.AfterFunc(announceInterval, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.announce(time.Now(), a)
	})
}
