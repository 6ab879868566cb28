package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/driver"
	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// Kinds of messages.
const (
	datagramKind = peer.MemberKinds + iota
	exchangeKind
)

// exchangeTimeout is how long the answer to an exchange request may take.
const exchangeTimeout = 2 * time.Second

// Service keeps the table of members of this process up to date. Its methods may be called by any goroutine.
type Service struct {
	transport  *peer.Transport
	log        *zap.Logger
	membership *membership // used within calls of the driver only
	driver     *driver.Driver[output]
	current    atomic.Pointer[Table]
	left       chan struct{}
	publisher  publisher
}

// New returns the service of the process that self describes, and sets its handlers on the transport, which must not be
// started yet. The generation and the first incarnation are chosen here if they are 0.
func New(self Member, seeds []netip.AddrPort, t *peer.Transport, log *zap.Logger) *Service {
	self.State = Alive
	if self.Generation == 0 {
		self.Generation = rand.Uint64() | 1
	}
	if self.Incarnation == 0 {
		// Most often above that of the earlier process at the address. If it is not, this process learns of that and raises it.
		self.Incarnation = uint64(time.Now().UnixMilli())
	}
	random := rand.New(rand.NewPCG(self.Generation, rand.Uint64()))
	s := &Service{
		transport:  t,
		log:        log,
		membership: newMembership(self, seeds, random, 0),
		left:       make(chan struct{}),
	}
	s.driver = driver.New(s.membership, s.perform)
	s.current.Store(s.membership.table())
	t.HandleDatagram(datagramKind, s.receive)
	t.Handle(exchangeKind, s.answerExchange)
	return s
}

// Start begins to take part, until ctx ends. Before it nothing is sent. It must be called once. The goroutines of exchanges
// end soon after ctx; nobody waits for them.
func (s *Service) Start(ctx context.Context) { s.driver.Start(ctx) }

// Table returns the members as they are known now.
func (s *Service) Table() *Table { return s.current.Load() }

// OnChange adds a function that is called with each new table, one at a time. It must not block, and may use the service.
func (s *Service) OnChange(f func(*Table)) { s.publisher.subscribe(f) }

// UpdateSelf changes the record of this process and broadcasts it. Address and generation stay as they are.
func (s *Service) UpdateSelf(change func(*Member)) {
	s.driver.Do(func(now time.Duration) { s.membership.updateSelf(now, change) })
}

// Leave announces to other members that this process ends, and returns when some have confirmed, the tries are used up, or
// ctx ends. It must be called while the context of Start goes on.
func (s *Service) Leave(ctx context.Context) {
	s.driver.Do(func(now time.Duration) { s.membership.leave(now) })
	select {
	case <-s.left:
	case <-ctx.Done():
	}
}

// perform carries out what the state machine wants done.
func (s *Service) perform(ctx context.Context, _ time.Duration, out output) {
	for i := range out.datagrams {
		s.send(&out.datagrams[i])
	}
	if out.exchange != nil {
		go s.exchange(ctx, *out.exchange)
	}
	if out.publish {
		s.publisher.publish(s.publishTable)
	}
	if out.left {
		close(s.left)
	}
}

func (s *Service) send(d *datagram) {
	body, err := d.message.encode()
	if err != nil {
		s.log.Error("encode membership datagram failed", zap.Stringer("to", d.to), zap.Error(err))
		return
	}
	s.transport.Datagram(d.to, peer.Message{Kind: datagramKind, Body: body})
}

func (s *Service) receive(from netip.AddrPort, m peer.Message) {
	received, err := decodeMessage(m.Body)
	if err != nil {
		s.log.Warn("decode membership datagram failed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.driver.Do(func(now time.Duration) { s.membership.receive(now, from, &received) })
}

func (s *Service) answerExchange(_ context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	request, err := decodeExchangeRequest(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.BadRequest, err)
	}
	var answer exchangeAnswer
	handled := s.driver.Do(func(now time.Duration) { answer = s.membership.answerExchange(now, &request) })
	if !handled {
		return peer.Message{}, fault.New(fault.NotReady, "%v has stopped", s.transport.Address())
	}
	body, err := answer.encode()
	return peer.Message{Kind: exchangeKind, Body: body}, err
}

// exchange requests the list of a member and hands the outcome to the state machine.
func (s *Service) exchange(ctx context.Context, call exchangeCall) {
	answer, err := s.callExchange(ctx, call)
	if err != nil {
		s.log.Debug("exchange of members failed", zap.Stringer("partner", call.to), zap.Error(err))
		s.driver.Do(func(now time.Duration) { s.membership.exchangeFailed(now) })
		return
	}
	s.driver.Do(func(now time.Duration) { s.membership.exchanged(now, &answer) })
}

func (s *Service) callExchange(ctx context.Context, call exchangeCall) (exchangeAnswer, error) {
	body, err := call.request.encode()
	if err != nil {
		return exchangeAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := s.transport.Call(ctx, call.to, peer.Message{Kind: exchangeKind, Body: body})
	if err != nil {
		return exchangeAnswer{}, err
	}
	return decodeExchangeAnswer(answer.Body)
}

// publishTable makes the table anew and returns it, after the connections to members that have ended are closed.
func (s *Service) publishTable() *Table {
	var table *Table
	s.driver.Inspect(func(time.Duration) { table = s.membership.table() })
	previous := s.current.Swap(table)
	s.disconnectEnded(previous, table)
	return table
}

// disconnectEnded closes the connections to processes that have died or left since the previous table.
func (s *Service) disconnectEnded(previous, current *Table) {
	for _, m := range current.All() {
		if m.Running() {
			continue
		}
		before, known := previous.Get(m.Address)
		if known && before.Running() {
			s.log.Debug("disconnect ended member", zap.String("name", m.Name), zap.Stringer("address", m.Address), zap.Stringer("state", m.State))
			s.transport.Disconnect(m.Address)
		}
	}
}
