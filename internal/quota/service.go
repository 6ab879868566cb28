package quota

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

const (
	// A node that becomes head starts its allocator as soon as there is a proof that it is the head, without waiting for the
	// first renewal. It looks for the proof every activationInterval, activationAttempts times at most.
	activationInterval = 50 * time.Millisecond
	activationAttempts = 200
	// announceInterval is the time between two announcements to proxies that have not yet reclaimed their leases.
	announceInterval = 200 * time.Millisecond
	// renewTimeout bounds the time that a renewal waits until the allocator has started and the proxy is registered.
	renewTimeout = 200 * time.Millisecond
)

// Service answers the renewals of proxies at a control node: as the allocator if the node is the head, otherwise with the
// address of the allocator. It is safe for concurrent use.
type Service struct {
	policy     Policy
	headStatus HeadStatus
	limits     func(tenant string) Limit
	isDown     func(netip.AddrPort) bool
	transport  *peer.Transport
	log        *zap.Logger
	updater    registryUpdater

	mutex      sync.Mutex
	epoch      uint64
	allocator  *Allocator
	activating bool
}

// NewService returns the service of a control node and registers its handler with the transport. isDown reports whether the
// process at an address is known not to run; nil means that it is never known.
func NewService(
	p Policy, h HeadStatus, r Registry, limits func(tenant string) Limit, isDown func(netip.AddrPort) bool,
	t *peer.Transport, log *zap.Logger,
) *Service {
	s := &Service{policy: p, headStatus: h, limits: limits, isDown: isDown, transport: t, log: log}
	s.updater = registryUpdater{service: s, registry: r, changed: make(chan struct{})}
	t.Handle(kindRenew, s.renew)
	s.activateSoon()
	return s
}

// renew handles the renewal of a proxy.
func (s *Service) renew(ctx context.Context, from netip.AddrPort, m peer.Message) (peer.Message, error) {
	renewal, err := decodeRenewal(m.Body)
	if err != nil {
		return peer.Message{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	answer, err := s.answer(ctx, Leaseholder{Address: from, Generation: renewal.Generation}, renewal)
	if err != nil {
		return peer.Message{}, err
	}
	body, err := encodeAnswer(answer)
	return peer.Message{Kind: kindRenew, Body: body}, err
}

// answer answers a renewal. If the start of the allocator or the registration of the proxy is pending, it waits for that
// until ctx ends.
func (s *Service) answer(ctx context.Context, from Leaseholder, renewal *Renewal) (*renewalAnswer, error) {
	for {
		answer, registered, err := s.tryAnswer(time.Now(), from, renewal)
		if registered == nil {
			return answer, err
		}
		select {
		case <-registered:
		case <-ctx.Done():
			return nil, fault.New(fault.NotReady, "generation %x of %v is not registered yet", from.Generation, from.Address)
		}
	}
}

// tryAnswer answers a renewal. If the allocator has not started or the proxy is not registered, it returns a channel that is
// closed when the renewal should be tried again.
func (s *Service) tryAnswer(now time.Time, from Leaseholder, renewal *Renewal) (*renewalAnswer, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.headStatus.Fresh() || renewal.Epoch > s.headStatus.Epoch() {
		head, _ := s.headStatus.Head()
		return &renewalAnswer{moved: true, allocator: head}, nil, nil
	}
	allocator := s.activeAllocator()
	if allocator == nil {
		return nil, s.updater.startUpdates(), nil
	}
	status := allocator.StatusOf(from)
	if status == Unregistered && renewal.Leaving {
		return &renewalAnswer{epoch: s.epoch}, nil, nil // no allocator would wait for it
	}
	if status == Unregistered {
		return nil, s.updater.register(from), nil
	}
	grants, err := allocator.Renew(now, from, renewal)
	if allocator.HasRemovable() || allocator.HasReserveChanges() {
		s.updater.startUpdates()
	}
	return &renewalAnswer{epoch: s.epoch, mustReclaim: !allocator.HasReclaimed(from), grants: grants}, nil, err
}
