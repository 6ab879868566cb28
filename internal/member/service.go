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

// exchangeTimeout is how long the response to an exchange request may take.
const exchangeTimeout = 2 * time.Second

// Service keeps the table of members of this process up to date. Its methods are safe for concurrent use.
type Service struct {
	transport  *peer.Transport
	log        *zap.Logger
	membership *membership // used only in functions that the driver calls
	driver     *driver.Driver[output]
	current    atomic.Pointer[Table]
	left       chan struct{}
	publisher  publisher
}

// New returns the service of the process that self describes, and sets its handlers on the transport, which must not have
// been started. It chooses the generation and the first incarnation if they are 0.
func New(self Member, seeds []netip.AddrPort, t *peer.Transport, log *zap.Logger) *Service {
	self.State = Alive
	if self.Generation == 0 {
		self.Generation = rand.Uint64() | 1
	}
	if self.Incarnation == 0 {
		// The time is usually above the incarnation of an earlier process at the address. If it is not, this process
		// learns so from an assertion about the earlier one, and raises its incarnation.
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
	t.Handle(exchangeKind, s.handleExchangeRequest)
	return s
}

// Start starts the protocol, which runs until ctx ends. Nothing is sent before the call. It must be called once. The
// goroutines of exchanges end soon after ctx; nothing waits for them.
func (s *Service) Start(ctx context.Context) { s.driver.Start(ctx) }

// Table returns the current table of members.
func (s *Service) Table() *Table { return s.current.Load() }

// OnChange adds a function that is called with each new table, one call at a time. The function must not block, and may
// use the service.
func (s *Service) OnChange(f func(*Table)) { s.publisher.subscribe(f) }

// UpdateSelf changes the record of this process and broadcasts it. Changes of address and generation are undone.
func (s *Service) UpdateSelf(change func(*Member)) {
	s.driver.Do(func(now time.Duration) { s.membership.updateSelf(now, change) })
}

// Leave announces to other members that this process ends. It returns when enough of them have confirmed, when all
// attempts are used up, or when ctx ends. It must be called before the context of Start ends.
func (s *Service) Leave(ctx context.Context) {
	s.driver.Do(func(now time.Duration) { s.membership.leave(now) })
	select {
	case <-s.left:
	case <-ctx.Done():
	}
}

// perform carries out the output of the state machine.
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
	s.transport.SendDatagram(d.to, peer.Message{Kind: datagramKind, Body: body})
}

func (s *Service) receive(from netip.AddrPort, m peer.Message) {
	received, err := decodeMessage(m.Body)
	if err != nil {
		s.log.Warn("decode membership datagram failed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.driver.Do(func(now time.Duration) { s.membership.receive(now, from, &received) })
}

func (s *Service) handleExchangeRequest(_ context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	request, err := decodeExchangeRequest(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.BadRequest, err)
	}
	var response exchangeResponse
	handled := s.driver.Do(func(now time.Duration) { response = s.membership.handleExchangeRequest(now, &request) })
	if !handled {
		return peer.Message{}, fault.New(fault.NotReady, "%v has stopped", s.transport.Address())
	}
	body, err := response.encode()
	return peer.Message{Kind: exchangeKind, Body: body}, err
}

// exchange requests the list of another member and passes the result to the state machine.
func (s *Service) exchange(ctx context.Context, call exchangeCall) {
	response, err := s.callExchange(ctx, call)
	if err != nil {
		s.log.Debug("exchange of member lists failed", zap.Stringer("partner", call.to), zap.Error(err))
		s.driver.Do(func(now time.Duration) { s.membership.exchangeFailed(now) })
		return
	}
	s.driver.Do(func(now time.Duration) { s.membership.exchangeSucceeded(now, &response) })
}

func (s *Service) callExchange(ctx context.Context, call exchangeCall) (exchangeResponse, error) {
	body, err := call.request.encode()
	if err != nil {
		return exchangeResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := s.transport.Call(ctx, call.to, peer.Message{Kind: exchangeKind, Body: body})
	if err != nil {
		return exchangeResponse{}, err
	}
	return decodeExchangeResponse(response.Body)
}

// publishTable makes a new table, closes the connections to members that have ended, and returns the table.
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
