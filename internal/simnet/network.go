package simnet

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Conditions describes the links of a network. With the zero value every message is delivered without delay.
type Conditions struct {
	MinimumDelay time.Duration
	MaximumDelay time.Duration
	// Loss is the probability that a message is lost.
	Loss float64
	// Reordering is the probability that a message may overtake, or be overtaken by, others of its link.
	Reordering float64
}

// Network is a simulated network with a clock. Its seed determines everything that happens in it. Events run one at a
// time, by Step.
type Network struct {
	Random     *rand.Rand
	Conditions Conditions

	clock        Clock
	processes    map[netip.AddrPort]*process
	partitions   map[link]bool
	lastDelivery map[link]time.Duration
}

// link is a pair of addresses in one direction.
type link struct{ from, to netip.AddrPort }

// process is the simulated process at an address.
type process struct {
	Process
	generation int // counts the starts and stops at the address
}

// New returns a network without processes.
func New(seed uint64, conditions Conditions) *Network {
	return &Network{
		Random:       rand.New(rand.NewPCG(seed, 0)),
		Conditions:   conditions,
		clock:        Clock{now: time.Second},
		processes:    make(map[netip.AddrPort]*process),
		partitions:   make(map[link]bool),
		lastDelivery: make(map[link]time.Duration),
	}
}

// Now returns the time of the network's clock.
func (n *Network) Now() time.Duration { return n.clock.Now() }

// Start starts a process at an address. Messages and timers of an earlier process there are dropped.
func (n *Network) Start(address netip.AddrPort) {
	p := n.process(address)
	p.Process.Start()
	p.generation++
}

// Stop ends the process at an address. Messages in transit to it and its timers are dropped.
func (n *Network) Stop(address netip.AddrPort) {
	p := n.process(address)
	p.Process.Stop()
	p.generation++
}

// Up reports whether there is a process at an address, running or frozen.
func (n *Network) Up(address netip.AddrPort) bool { return !n.process(address).Stopped() }

// Frozen reports whether the process at an address is frozen.
func (n *Network) Frozen(address netip.AddrPort) bool { return n.process(address).Frozen() }

// Freeze defers all work of the process at an address until Thaw.
func (n *Network) Freeze(address netip.AddrPort) { n.process(address).Freeze() }

// Thaw ends the freeze of a process, which does its deferred work at the current time.
func (n *Network) Thaw(address netip.AddrPort) {
	p := n.process(address)
	for _, f := range p.release() {
		n.clock.After(0, n.forGeneration(address, p.generation, f))
	}
}

// Partition sets whether all messages from one address to another are lost.
func (n *Network) Partition(from, to netip.AddrPort, partitioned bool) {
	if partitioned {
		n.partitions[link{from, to}] = true
		return
	}
	delete(n.partitions, link{from, to})
}

// IsPartitioned reports whether all messages from one address to another are lost.
func (n *Network) IsPartitioned(from, to netip.AddrPort) bool { return n.partitions[link{from, to}] }

// Heal ends all partitions.
func (n *Network) Heal() { clear(n.partitions) }

// Send schedules the delivery of a message to the process at an address, or loses the message.
func (n *Network) Send(from, to netip.AddrPort, deliver func()) {
	if n.partitions[link{from, to}] || n.Random.Float64() < n.Conditions.Loss {
		return
	}
	l := link{from, to}
	at := n.Now() + n.delay()
	if n.Random.Float64() >= n.Conditions.Reordering {
		at = max(at, n.lastDelivery[l])
		n.lastDelivery[l] = at
	}
	p := n.process(to)
	if p.Stopped() {
		return
	}
	n.At(at, n.forGeneration(to, p.generation, deliver))
}

// SendToAddress is Send, but the message is delivered to whatever process runs at the address when it arrives, also if that was
// started after the message was sent.
func (n *Network) SendToAddress(from, to netip.AddrPort, deliver func()) {
	if n.partitions[link{from, to}] || n.Random.Float64() < n.Conditions.Loss {
		return
	}
	n.At(n.Now()+n.delay(), func() { n.process(to).Do(deliver) })
}

// After has the process at an address call f after the given wait, unless the process ends before.
func (n *Network) After(address netip.AddrPort, wait time.Duration, f func()) {
	n.clock.After(wait, n.forGeneration(address, n.process(address).generation, f))
}

// At schedules a call of f at the given time, independently of any process.
func (n *Network) At(at time.Duration, f func()) { n.clock.At(at, f) }

// Step advances the clock to the next event and runs it. It reports whether there was one.
func (n *Network) Step() bool { return n.clock.Step() }

func (n *Network) delay() time.Duration {
	spread := n.Conditions.MaximumDelay - n.Conditions.MinimumDelay
	if spread <= 0 {
		return n.Conditions.MinimumDelay
	}
	return n.Conditions.MinimumDelay + time.Duration(n.Random.Int64N(int64(spread)))
}

func (n *Network) process(address netip.AddrPort) *process {
	p := n.processes[address]
	if p == nil {
		p = &process{}
		p.Process.Stop()
		n.processes[address] = p
	}
	return p
}

// forGeneration returns a function that has the process at an address do f, if it is still of the given generation.
func (n *Network) forGeneration(address netip.AddrPort, generation int, f func()) func() {
	return func() {
		if p := n.process(address); p.generation == generation {
			p.Do(f)
		}
	}
}
