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

// Headship is what the service of a control node has to know of the control chain.
type Headship interface {
	// Fresh tells whether a barrier younger than HeadshipProof proves that this node is the head.
	Fresh() bool
	// Epoch tells the view of the control chain.
	Epoch() uint64
	// Head is the address of the head as far as this node knows.
	Head() (netip.AddrPort, bool)
}

const (
	// A node that becomes head registers itself as soon as it has a proof of its headship, and not only when the first
	// proxy asks.
	prepareInterval = 50 * time.Millisecond
	prepareTries    = 200
	// announceInterval lies between two announcements to those proxies that have not presented their leases.
	announceInterval = 200 * time.Millisecond
	// renewTimeout bounds how long a renewal waits for the allocator to begin, or for the proxy to be registered.
	renewTimeout = 200 * time.Millisecond
)

// Service answers proxies' renewals at a control node: as the allocator where the node is the head, and elsewhere with
// the allocator's address.
type Service struct {
	policy    Policy
	headship  Headship
	limits    func(tenant string) Limit
	gone      func(netip.AddrPort) bool
	transport *peer.Transport
	log       *zap.Logger
	registrar registrar

	mutex     sync.Mutex
	epoch     uint64
	allocator *Allocator
	preparing bool
}

// NewService makes the service of a control node and registers it with the transport. Gone tells whether the process at an address
// is known not to run.
func NewService(
	p Policy, h Headship, r Register, limits func(tenant string) Limit, gone func(netip.AddrPort) bool,
	t *peer.Transport, log *zap.Logger,
) *Service {
	s := &Service{policy: p, headship: h, limits: limits, gone: gone, transport: t, log: log}
	s.registrar = registrar{service: s, register: r, finished: make(chan struct{})}
	t.Handle(kindRenew, s.renew)
	s.prepareSoon()
	return s
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
		s.startPreparing()
	}
}

// prepareSoon looks for a proof of headship for a while.
func (s *Service) prepareSoon() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startPreparing()
}

func (s *Service) startPreparing() {
	if !s.preparing {
		s.preparing = true
		time.AfterFunc(prepareInterval, func() { s.prepare(prepareTries) })
	}
}

// prepare has the allocator begin if there is a proof, and else looks again later.
func (s *Service) prepare(tries int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current() != nil {
		s.preparing = false
		return
	}
	s.registrar.start()
	if tries <= 1 {
		s.preparing = false
		return
	}
	time.AfterFunc(prepareInterval, func() { s.prepare(tries - 1) })
}

// current gives the allocator while this node is known to be the head, nil elsewhere and while the allocator has not
// begun. The caller holds the lock.
func (s *Service) current() *Allocator {
	if s.allocator == nil || !s.headship.Fresh() || s.epoch != s.headship.Epoch() {
		return nil
	}
	return s.allocator
}

// begin makes the allocator of an epoch, in which the register can be changed by no former allocator any more. The caller
// holds the lock.
func (s *Service) begin(now time.Time, epoch uint64, registered []Holder) {
	s.log.Info("quota allocator begins", zap.Uint64("epoch", epoch), zap.Int("holders", len(registered)))
	s.allocator = NewAllocator(s.policy, s.limits, registered, now)
	s.allocator.gone = s.gone
	s.epoch = epoch
	s.announce(now, s.allocator)
}

// announce tells the proxies that may hold leases where to present them, until they have. The caller holds the lock.
func (s *Service) announce(now time.Time, a *Allocator) {
	addresses := a.Unheard(now)
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

func (s *Service) renew(ctx context.Context, from netip.AddrPort, m peer.Message) (peer.Message, error) {
	r, err := decodeRenewal(m.Body)
	if err != nil {
		return peer.Message{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	a, err := s.answer(ctx, Holder{Address: from, Life: r.Life}, r)
	if err != nil {
		return peer.Message{}, err
	}
	body, err := encodeAnswer(a)
	return peer.Message{Kind: kindRenew, Body: body}, err
}

// answer answers a renewal, after the allocator has begun and the proxy is registered where that has still to be done.
func (s *Service) answer(ctx context.Context, from Holder, r *Renewal) (*answer, error) {
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
func (s *Service) tryAnswer(now time.Time, from Holder, r *Renewal) (*answer, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.headship.Fresh() || r.Epoch > s.headship.Epoch() {
		head, _ := s.headship.Head()
		return &answer{moved: true, allocator: head}, nil, nil
	}
	allocator := s.current()
	if allocator == nil {
		return nil, s.registrar.start(), nil
	}
	admission := allocator.Admit(from)
	if admission == Unregistered && r.Leaving {
		return &answer{epoch: s.epoch}, nil, nil // it holds nothing that anybody would wait for
	}
	if admission == Unregistered {
		return nil, s.registrar.add(from), nil
	}
	grants, err := allocator.Renew(now, from, r)
	if allocator.HasSilent() {
		s.registrar.start()
	}
	return &answer{epoch: s.epoch, unheard: !allocator.Heard(from), grants: grants}, nil, err
}
