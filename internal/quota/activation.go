package quota

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/peer"
)

// HeadStatus is what the service of a control node has to know of the control chain.
type HeadStatus interface {
	// Fresh tells whether a barrier younger than HeadshipProof proves that this node is the head.
	Fresh() bool
	// Epoch tells the view of the control chain.
	Epoch() uint64
	// Head is the address of the head as far as this node knows.
	Head() (netip.AddrPort, bool)
}

// ObserveView tells of each new view of the control chain. A node that stays the head from one epoch to the next goes on
// with the leases that it knows; any other head begins anew.
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

// activateSoon looks for a proof of headship for a while.
func (s *Service) activateSoon() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startActivation()
}

func (s *Service) startActivation() {
	if !s.activating {
		s.activating = true
		time.AfterFunc(activationInterval, func() { s.activate(activationAttempts) })
	}
}

// activate has the allocator begin if there is a proof, and else looks again later.
func (s *Service) activate(tries int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.activeAllocator() != nil {
		s.activating = false
		return
	}
	s.updater.startUpdates()
	if tries <= 1 {
		s.activating = false
		return
	}
	time.AfterFunc(activationInterval, func() { s.activate(tries - 1) })
}

// activeAllocator gives the allocator while this node is known to be the head, nil elsewhere and while the allocator has not
// begun. The caller holds the lock.
func (s *Service) activeAllocator() *Allocator {
	if s.allocator == nil || !s.headship.Fresh() || s.epoch != s.headship.Epoch() {
		return nil
	}
	return s.allocator
}

// startAllocator makes the allocator of an epoch, in which the register can be changed by no former allocator any more. The caller
// holds the lock.
func (s *Service) startAllocator(now time.Time, epoch uint64, registered []Leaseholder) {
	s.log.Info("quota allocator begins", zap.Uint64("epoch", epoch), zap.Int("holders", len(registered)))
	s.allocator = NewAllocator(s.policy, s.limits, registered, now)
	s.allocator.isDown = s.isDown
	s.epoch = epoch
	s.announce(now, s.allocator)
}

// announce tells the proxies that may hold leases where to present them, until they have. The caller holds the lock.
func (s *Service) announce(now time.Time, a *Allocator) {
	addresses := a.Unreclaimed(now)
	if s.allocator != a || len(addresses) == 0 {
		return
	}
	body, err := encodeAnnouncement(s.epoch)
	if err != nil {
		s.log.Error("quota announcement", zap.Error(err))
		return
	}
	for _, address := range addresses {
		s.transport.Datagram(address, peer.Message{Kind: kindAnnounce, Body: body})
	}
	time.AfterFunc(announceInterval, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.announce(time.Now(), a)
	})
}
