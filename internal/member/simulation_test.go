package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/simnet"
)

// simulation runs state machines on a simulated network in simulated time.
type simulation struct {
	t      testing.TB
	random *rand.Rand
	clock  simnet.Clock
	nodes  map[netip.AddrPort]*simulatedNode
	order  []netip.AddrPort
	seeds  []netip.AddrPort

	loss       float64
	minLatency time.Duration
	maxLatency time.Duration
	// maxProcessingDelay is how long a slow node takes at most until it handles an event.
	maxProcessingDelay map[netip.AddrPort]time.Duration
	// connected reports whether two nodes can reach each other; nil stands for always.
	connected func(a, b netip.AddrPort) bool

	datagrams   int
	falseDeaths int
}

type simulatedNode struct {
	membership *membership
	process    simnet.Process
	timer      time.Duration
	table      *Table
}

const (
	simulatedSeeds = 3
	startSpread    = 300 * time.Millisecond
	callTimeout    = time.Second
)

func newSimulation(t testing.TB, seed uint64, size int) *simulation {
	s := &simulation{
		t:          t,
		random:     rand.New(rand.NewPCG(seed, uint64(size))),
		nodes:      make(map[netip.AddrPort]*simulatedNode),
		minLatency: time.Millisecond,
		maxLatency: 10 * time.Millisecond,
	}
	for i := range size {
		s.order = append(s.order, simulatedAddress(i))
	}
	s.seeds = s.order[:min(simulatedSeeds, size)]
	for _, address := range s.order {
		s.clock.At(time.Duration(s.random.Int64N(int64(startSpread))), func() { s.start(address, 1) })
	}
	return s
}

func simulatedAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7660)
}

// start starts a process with a new generation.
func (s *simulation) start(address netip.AddrPort, incarnation uint64) {
	self := Member{
		Name:        fmt.Sprintf("frontend-some-long-name-%v", address.Addr()),
		Role:        "proxy",
		Zone:        "zone-with-a-long-name",
		Region:      "region-with-a-long-name",
		Address:     address,
		Generation:  s.random.Uint64(),
		Incarnation: incarnation,
	}
	n := &simulatedNode{membership: newMembership(self, s.seeds, rand.New(rand.NewPCG(s.random.Uint64(), 1)), s.clock.Now())}
	s.nodes[address] = n
	s.deliver(n, func(n *simulatedNode) { n.membership.Advance(s.clock.Now()) })
}

func (s *simulation) crash(address netip.AddrPort) { s.nodes[address].process.Stop() }

func (s *simulation) freeze(address netip.AddrPort) { s.nodes[address].process.Freeze() }

func (s *simulation) thaw(address netip.AddrPort) {
	n := s.nodes[address]
	n.process.Thaw()
	s.deliver(n, func(n *simulatedNode) { n.membership.Advance(s.clock.Now()) })
}

func (s *simulation) latency() time.Duration {
	return s.minLatency + time.Duration(s.random.Int64N(int64(s.maxLatency-s.minLatency)))
}

func (s *simulation) processingDelay(address netip.AddrPort) time.Duration {
	longest := s.maxProcessingDelay[address]
	if longest == 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(longest)))
}

func (s *simulation) hasPath(a, b netip.AddrPort) bool {
	return s.connected == nil || s.connected(a, b)
}

// deliver has a node handle an event and performs its output, after the thaw if the node is frozen.
func (s *simulation) deliver(n *simulatedNode, event func(*simulatedNode)) {
	n.process.Do(func() {
		event(n)
		s.perform(n)
	})
}

func (s *simulation) perform(n *simulatedNode) {
	out := n.membership.Take(true)
	for _, d := range out.datagrams {
		s.send(n, d)
	}
	if out.exchange != nil {
		s.exchange(n, *out.exchange)
	}
	if out.publish {
		n.table = n.membership.table()
		s.countFalseDeaths(n.table)
	}
	s.schedule(n)
}

func (s *simulation) schedule(n *simulatedNode) {
	due := max(n.membership.Next(), s.clock.Now())
	if due == never || n.timer == due {
		return
	}
	n.timer = due
	s.clock.At(due+s.processingDelay(n.membership.self.member.Address), func() {
		if n.timer == due {
			s.deliver(n, func(n *simulatedNode) {
				n.timer = 0
				n.membership.Advance(s.clock.Now())
			})
		}
	})
}

func (s *simulation) countFalseDeaths(t *Table) {
	for _, m := range t.All() {
		if m.State == Dead && s.isUp(m.Address) && m.Generation == s.nodes[m.Address].membership.self.member.Generation {
			s.falseDeaths++
		}
	}
}

func (s *simulation) isUp(address netip.AddrPort) bool {
	n := s.nodes[address]
	return n != nil && n.process.Running()
}

func (s *simulation) send(from *simulatedNode, d datagram) {
	const sizeCheckInterval = 100
	s.datagrams++
	if s.datagrams%sizeCheckInterval == 0 {
		s.checkSize(&d.message)
	}
	origin := from.membership.self.member.Address
	if s.random.Float64() < s.loss || !s.hasPath(origin, d.to) {
		return
	}
	s.clock.At(s.clock.Now()+s.latency()+s.processingDelay(d.to), func() {
		if to := s.nodes[d.to]; to != nil {
			s.deliver(to, func(to *simulatedNode) { to.membership.receive(s.clock.Now(), origin, &d.message) })
		}
	})
}

func (s *simulation) checkSize(m *message) {
	const frameBytes = 100
	data, err := m.encode()
	if err != nil {
		s.t.Fatal(err)
	}
	if len(data) > 1400-frameBytes {
		s.t.Errorf("got datagram of %d bytes with %d records and %d assertions, want at most 1400 bytes with the frame", len(data), len(m.records), len(m.assertions))
	}
}

func (s *simulation) exchange(n *simulatedNode, call exchangeCall) {
	requester := n.membership.self.member.Address
	fail := func() {
		s.clock.At(s.clock.Now()+callTimeout, func() {
			s.deliver(n, func(n *simulatedNode) { n.membership.exchangeFailed(s.clock.Now()) })
		})
	}
	s.clock.At(s.clock.Now()+s.latency(), func() {
		to := s.nodes[call.to]
		if !s.isUp(call.to) || !s.hasPath(requester, call.to) {
			fail()
			return
		}
		s.deliver(to, func(to *simulatedNode) {
			response := to.membership.handleExchangeRequest(s.clock.Now(), &call.request)
			s.clock.At(s.clock.Now()+s.latency(), func() {
				if !s.hasPath(requester, call.to) {
					fail()
					return
				}
				s.deliver(n, func(n *simulatedNode) { n.membership.exchangeSucceeded(s.clock.Now(), &response) })
			})
		})
	})
}

// run handles events until the given time, or until done, which is called every step, reports true.
func (s *simulation) run(until time.Duration, done func() bool) {
	const step = 10 * time.Millisecond
	lastCheck := s.clock.Now()
	s.clock.RunUntilDone(until, func() bool {
		if done == nil || s.clock.Now() < lastCheck+step {
			return false
		}
		lastCheck = s.clock.Now()
		return done()
	})
}

// runUntil runs the simulation until done reports true, and returns how long that took. It fails the test if that takes
// longer than within.
func (s *simulation) runUntil(what string, within time.Duration, done func() bool) time.Duration {
	s.t.Helper()
	start := s.clock.Now()
	s.run(start+within, done)
	if !done() {
		s.t.Fatalf("%s: not within %v: %s", what, within, s.differences())
	}
	return s.clock.Now() - start
}

// complete reports whether each node that is up considers exactly the nodes that are up to be running.
func (s *simulation) complete() bool {
	var up []*simulatedNode
	for _, address := range s.order {
		if s.isUp(address) {
			up = append(up, s.nodes[address])
		}
	}
	for _, n := range up {
		if n.membership.running != len(up) {
			return false
		}
	}
	for _, n := range up {
		for _, other := range s.order {
			if n.membership.isRunning(other) != s.isUp(other) {
				return false
			}
		}
	}
	return true
}

// differences describes why complete returns false.
func (s *simulation) differences() string {
	const shown = 5
	text := ""
	count := 0
	for _, address := range s.order {
		for _, other := range s.order {
			if !s.isUp(address) || s.nodes[address].membership.isRunning(other) == s.isUp(other) {
				continue
			}
			count++
			if count > shown {
				continue
			}
			known := "unknown"
			if e := s.nodes[address].membership.members[other]; e != nil {
				known = fmt.Sprintf("%v of incarnation %d", e.member.State, e.member.Incarnation)
			}
			actual := s.nodes[other].membership.self.member.Incarnation
			text += fmt.Sprintf("\nlist of %v: %v is %s, its actual incarnation is %d", address, other, known, actual)
		}
	}
	return fmt.Sprintf("%d differences%s", count, text)
}

// allConsider reports whether all other nodes that are up consider the member to be in the state.
func (s *simulation) allConsider(address netip.AddrPort, state State) bool {
	for _, other := range s.order {
		if other == address || !s.isUp(other) {
			continue
		}
		e := s.nodes[other].membership.members[address]
		if e == nil || e.member.State != state {
			return false
		}
	}
	return true
}

// newJoinedSimulation returns a simulation in which all members know each other.
func newJoinedSimulation(t testing.TB, seed uint64, size int) *simulation {
	t.Helper()
	s := newSimulation(t, seed, size)
	s.run(startSpread, nil)
	s.runUntil("start", 10*time.Second, s.complete)
	return s
}
