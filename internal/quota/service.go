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
	// A node that becomes head registers itself as soon as it has a proof of its headship, and not only when the first
	// proxy asks.
	activationInterval = 50 * time.Millisecond
	activationAttempts = 200
	// announceInterval lies between two announcements to those proxies that have not presented their leases.
	announceInterval = 200 * time.Millisecond
	// renewTimeout bounds how long a renewal waits for the allocator to begin, or for the proxy to be registered.
	renewTimeout = 200 * time.Millisecond
)

// Service answers proxies' renewals at a control node: as the allocator where the node is the head, and elsewhere with
// the allocator's address.
type Service struct {
	policy    Policy
	headship  HeadStatus
	limits    func(tenant string) Limit
	isDown    func(netip.AddrPort) bool
	transport *peer.Transport
	log       *zap.Logger
	updater   registryUpdater

	mutex      sync.Mutex
	epoch      uint64
	allocator  *Allocator
	activating bool
}

// NewService makes the service of a control node and registers it with the transport. Gone tells whether the process at an address
// is known not to run.
func NewService(
	p Policy, h HeadStatus, r Registry, limits func(tenant string) Limit, gone func(netip.AddrPort) bool,
	t *peer.Transport, log *zap.Logger,
) *Service {
	s := &Service{policy: p, headship: h, limits: limits, isDown: gone, transport: t, log: log}
	s.updater = registryUpdater{service: s, registry: r, finished: make(chan struct{})}
	t.Handle(kindRenew, s.renew)
	s.activateSoon()
	return s
}

func (s *Service) renew(ctx context.Context, from netip.AddrPort, m peer.Message) (peer.Message, error) {
	r, err := decodeRenewal(m.Body)
	if err != nil {
		return peer.Message{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	a, err := s.answer(ctx, Leaseholder{Address: from, Life: r.Life}, r)
	if err != nil {
		return peer.Message{}, err
	}
	body, err := encodeAnswer(a)
	return peer.Message{Kind: kindRenew, Body: body}, err
}

// answer answers a renewal, after the allocator has begun and the proxy is registered where that has still to be done.
func (s *Service) answer(ctx context.Context, from Leaseholder, r *Renewal) (*answer, error) {
	for {
		a, registered, err := s.tryAnswer(time.Now(), from, r)
		if registered == nil {
			return a, err
		}
		select {
		case <-registered:
		case <-ctx.Done():
			return nil, fault.New(fault.NotReady, "life %x of %v is not registered yet", from.Life, from.Address)
		}
	}
}

// tryAnswer answers a renewal, or gives a channel that is closed when there may be an answer.
func (s *Service) tryAnswer(now time.Time, from Leaseholder, r *Renewal) (*answer, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.headship.Fresh() || r.Epoch > s.headship.Epoch() {
		head, _ := s.headship.Head()
		return &answer{moved: true, allocator: head}, nil, nil
	}
	allocator := s.activeAllocator()
	if allocator == nil {
		return nil, s.updater.startUpdates(), nil
	}
	admission := allocator.StatusOf(from)
	if admission == Unregistered && r.Leaving {
		return &answer{epoch: s.epoch}, nil, nil // it holds nothing that anybody would wait for
	}
	if admission == Unregistered {
		return nil, s.updater.register(from), nil
	}
	grants, err := allocator.Renew(now, from, r)
	if allocator.HasRemovable() {
		s.updater.startUpdates()
	}
	return &answer{epoch: s.epoch, mustReclaim: !allocator.HasReclaimed(from), grants: grants}, nil, err
}
