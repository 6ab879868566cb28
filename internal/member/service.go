package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// Kinds of messages.
const (
	datagramKind = peer.MemberKinds + iota
	exchangeKind
)

const exchangeTimeout = 2 * time.Second

// Service keeps the table of members of this process up to date.
type Service struct {
	transport *peer.Transport
	log       *zap.Logger
	start     time.Time
	current   atomic.Pointer[Table]
	left      chan struct{}

	mutex   sync.Mutex // of the fields below
	core    *core
	timer   *time.Timer
	ctx     context.Context
	stopped bool

	publishing  sync.Mutex // of the fields below
	subscribers []func(*Table)
	telling     bool // the subscribers are being told
	stale       bool // of a table that is not the newest
}

// New makes the service of the process that self describes, and sets its handlers on the transport, which must not be
// started yet. The generation and the first incarnation are chosen here if they are 0.
func New(self Member, seeds []netip.AddrPort, t *peer.Transport, log *zap.Logger) *Service {
	self.State = Alive
	if self.Generation == 0 {
		self.Generation = rand.Uint64() | 1
	}
	if self.Incarnation == 0 {
		// Most often above that of the earlier process at the address. If it is not, the process is told and raises it.
		self.Incarnation = uint64(time.Now().UnixMilli())
	}
	random := rand.New(rand.NewPCG(self.Generation, rand.Uint64()))
	s := &Service{
		transport: t,
		log:       log,
		start:     time.Now(),
		left:      make(chan struct{}),
		core:      newCore(self, seeds, random, 0),
	}
	s.current.Store(s.core.table())
	t.HandleDatagram(datagramKind, s.receive)
	t.Handle(exchangeKind, s.answerExchange)
	return s
}

// Start begins to take part, until ctx ends.
func (s *Service) Start(ctx context.Context) {
	s.mutex.Lock()
	s.ctx = ctx
	s.timer = time.AfterFunc(0, s.tick)
	s.mutex.Unlock()
	context.AfterFunc(ctx, s.stop)
}

func (s *Service) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// Table gives the members as they are known now.
func (s *Service) Table() *Table { return s.current.Load() }

// OnChange adds a function that is called with each new table, one at a time. It must not block, and may use the service.
func (s *Service) OnChange(f func(*Table)) {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// UpdateSelf changes the record of this process and tells the others. Address and generation stay as they are.
func (s *Service) UpdateSelf(change func(*Member)) {
	s.do(func(now time.Duration) { s.core.updateSelf(now, change) })
}

// Leave tells the others that this process ends, and returns when some have confirmed or ctx ends. It is called while the
// context of Start goes on.
func (s *Service) Leave(ctx context.Context) {
	s.do(func(now time.Duration) { s.core.leave(now) })
	select {
	case <-s.left:
	case <-ctx.Done():
	}
}

// do hands an event to the state machine and carries out what it returns. Before Start nothing is sent.
func (s *Service) do(event func(now time.Duration)) {
	s.mutex.Lock()
	if s.stopped {
		s.mutex.Unlock()
		return
	}
	now := time.Since(s.start)
	event(now)
	if s.timer == nil {
		s.mutex.Unlock()
		return
	}
	out := s.core.take()
	request := exchangeRequest{}
	if out.exchange.IsValid() {
		request = s.core.exchangeRequest()
	}
	s.schedule(now)
	s.mutex.Unlock()
	s.carryOut(out, request)
}

func (s *Service) schedule(now time.Duration) {
	if due := s.core.next(); due != never {
		s.timer.Reset(max(due-now, 0))
	}
}

func (s *Service) carryOut(out output, request exchangeRequest) {
	for i := range out.datagrams {
		body, err := out.datagrams[i].message.encode()
		if err != nil {
			s.log.Error("datagram", zap.Error(err))
			continue
		}
		s.transport.Datagram(out.datagrams[i].to, peer.Message{Kind: datagramKind, Body: body})
	}
	if out.exchange.IsValid() {
		go s.exchange(out.exchange, request)
	}
	if out.publish {
		s.publish()
	}
	if out.left {
		close(s.left)
	}
}

func (s *Service) tick() {
	s.do(func(now time.Duration) { s.core.advance(now) })
}

func (s *Service) receive(from netip.AddrPort, m peer.Message) {
	decoded, err := decodeMessage(m.Body)
	if err != nil {
		s.log.Warn("bad datagram", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.do(func(now time.Duration) { s.core.receive(now, from, &decoded) })
}

func (s *Service) answerExchange(_ context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	request, err := decodeExchangeRequest(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.BadRequest, err)
	}
	var answer *exchangeAnswer
	s.do(func(now time.Duration) {
		list := s.core.answerExchange(now, &request)
		answer = &list
	})
	if answer == nil {
		return peer.Message{}, fault.New(fault.NotReady, "%v has stopped", s.transport.Address())
	}
	body, err := answer.encode()
	return peer.Message{Kind: exchangeKind, Body: body}, err
}

// exchange asks a member for its list.
func (s *Service) exchange(partner netip.AddrPort, request exchangeRequest) {
	answer, err := s.callExchange(partner, request)
	if err != nil {
		s.log.Debug("no exchange", zap.Stringer("with", partner), zap.Error(err))
		s.do(func(now time.Duration) { s.core.exchangeFailed(now) })
		return
	}
	s.do(func(now time.Duration) { s.core.exchanged(now, &answer) })
}

func (s *Service) callExchange(partner netip.AddrPort, request exchangeRequest) (exchangeAnswer, error) {
	body, err := request.encode()
	if err != nil {
		return exchangeAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, exchangeTimeout)
	defer cancel()
	answer, err := s.transport.Call(ctx, partner, peer.Message{Kind: exchangeKind, Body: body})
	if err != nil {
		return exchangeAnswer{}, err
	}
	return decodeExchangeAnswer(answer.Body)
}

// publish makes the table anew and tells the subscribers, unless another goroutine or a subscriber further up does so: it
// goes on until the newest is told.
func (s *Service) publish() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.stale = true
	if s.telling {
		return
	}
	s.telling = true
	for s.stale {
		s.stale = false
		subscribers := s.subscribers
		s.publishing.Unlock()
		s.tell(subscribers)
		s.publishing.Lock()
	}
	s.telling = false
}

func (s *Service) tell(subscribers []func(*Table)) {
	s.mutex.Lock()
	table := s.core.table()
	s.mutex.Unlock()
	previous := s.current.Swap(table)
	s.disconnectEnded(previous, table)
	for _, subscriber := range subscribers {
		subscriber(table)
	}
}

// disconnectEnded closes the connections to processes that have died since the previous table.
func (s *Service) disconnectEnded(previous, current *Table) {
	for _, m := range current.All() {
		if m.Running() {
			continue
		}
		before, known := previous.Get(m.Address)
		if known && before.Running() {
			s.log.Debug("member ended", zap.String("name", m.Name), zap.Stringer("address", m.Address), zap.Stringer("state", m.State))
			s.transport.Disconnect(m.Address)
		}
	}
}
