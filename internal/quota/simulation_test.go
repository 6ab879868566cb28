package quota

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/simnet"
)

// A simulation of proxies and allocators: requests arrive in clumps at random proxies, messages take time, allocators
// change, proxies freeze, restart, are partitioned and stop. After each admitted request the rule's window is checked.

type simulatedTenant struct {
	name     string
	limit    Limit
	demand   float64 // requests a second
	admitted []time.Time
	first    int // of those in the window
	sent     int
	refused  int
	ideal    idealBucket
}

// idealBucket is one bucket with the tenant's limit, for comparison.
type idealBucket struct {
	used    float64
	at      time.Time
	refused int
}

func (b *idealBucket) arrive(now time.Time, l Limit) {
	b.used = max(0, b.used-l.Rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.used+1 > l.Burst {
		b.refused++
		return
	}
	b.used++
}

type simulatedProxy struct {
	s           *simulation
	address     netip.AddrPort
	generation  uint64
	sequence    uint64
	buckets     *leasedBuckets
	waiting     map[string]int
	calling     bool
	process     simnet.Process
	partitioned bool
	reach       reach
	epoch       uint64 // the newest that is known
	mustReclaim bool   // the allocator may not know all leases
	failedAt    time.Time
}

type simulation struct {
	t        *testing.T
	clock    simnet.Clock
	start    time.Time
	random   *rand.Rand
	policy   Policy
	tenants  []*simulatedTenant
	proxies  []*simulatedProxy
	heads    []*simulatedHead // those that think themselves head
	epoch    uint64           // of the newest view
	registry simulatedRegistry
	calls    int
	violated bool
	lossy    bool // some answers are lost
}

var rulePolicy = Policy{Window: 5 * time.Second, Lease: 4 * time.Second, Overshoot: 0.1, Allowance: 20}

func newSimulation(t *testing.T, seed uint64, proxies int, tenants []*simulatedTenant) *simulation {
	s := &simulation{
		t: t, start: time.Now(), random: rand.New(rand.NewPCG(seed, 7)), policy: rulePolicy, tenants: tenants,
	}
	for i := range proxies {
		p := &simulatedProxy{s: s, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7661)}
		p.reset()
		s.proxies = append(s.proxies, p)
		s.clock.After(time.Duration(s.random.Int64N(int64(renewPeriod))), p.periodic)
	}
	s.epoch = 1
	s.startHead(s.epoch)
	return s
}

func (s *simulation) tenantOf(name string) *simulatedTenant {
	for _, t := range s.tenants {
		if t.name == name {
			return t
		}
	}
	s.t.Fatalf("no tenant %s", name)
	return nil
}

func (s *simulation) limitOf(name string) Limit { return s.tenantOf(name).limit }

// trip is how long a message takes.
func (s *simulation) trip() time.Duration {
	return time.Duration((1 + s.random.ExpFloat64()) * float64(time.Millisecond))
}

// now returns the time of the simulated clock.
func (s *simulation) now() time.Time { return s.start.Add(s.clock.Now()) }

// traffic lets a tenant's requests arrive in clumps at proxies of uneven shares.
func (s *simulation) traffic(t *simulatedTenant, rate float64, from, to time.Duration) {
	shares := make([]float64, len(s.proxies))
	sum := 0.0
	for i := range shares {
		shares[i] = s.random.ExpFloat64()
		sum += shares[i]
	}
	const clump = 3
	for at := from.Seconds(); at < to.Seconds(); at += s.random.ExpFloat64() * clump / rate {
		proxy := s.proxies[pickShare(s.random.Float64()*sum, shares)]
		for i := range 1 + s.random.IntN(2*clump-1) {
			s.clock.At(time.Duration((at+0.005*float64(i))*float64(time.Second)), func() { proxy.arrive(t) })
		}
	}
}

func pickShare(u float64, shares []float64) int {
	for i, share := range shares {
		if u < share {
			return i
		}
		u -= share
	}
	return len(shares) - 1
}

// admit notes a request that is sent, and checks the window that ends with it.
func (s *simulation) admit(t *simulatedTenant) {
	t.admitted = append(t.admitted, s.now())
	most := (t.limit.Rate*s.policy.Window.Seconds()+t.limit.Burst)*(1+s.policy.Overshoot) + s.policy.Allowance
	for s.now().Sub(t.admitted[t.first]) >= s.policy.Window {
		t.first++
	}
	count := len(t.admitted) - t.first
	if float64(count) > most && !s.violated {
		s.violated = true
		s.t.Errorf("%s: requests in a window: got %d at %v, want %.1f at most", t.name, count, s.clock.Now(), most)
	}
}

// checkLeases checks, for the tenants whose leases have just been renewed, that no more is leased than their limits allow.
func (s *simulation) checkLeases(renewed []Entry) {
	for _, entry := range renewed {
		t := s.tenantOf(entry.Tenant)
		sum := Share{}
		for _, p := range s.proxies {
			b := p.buckets.byTenant[t.name]
			if b != nil && !p.process.Stopped() && s.now().Before(b.expiresAt) {
				sum.Rate += b.lease.Rate
				sum.Depth += b.lease.Depth
			}
		}
		const rounding = 1e-6
		if over := sum.Rate > t.limit.Rate+rounding || sum.Depth > s.policy.capacity(t.limit)+rounding; over && !s.violated {
			s.violated = true
			s.t.Errorf("%s: sum of leases: got %+v at %v, limit %+v", t.name, sum, s.clock.Now(), t.limit)
		}
	}
}

func (p *simulatedProxy) reset() {
	p.generation = p.s.random.Uint64()
	p.sequence = 0
	p.buckets = newLeasedBuckets(p.s.policy)
	p.waiting = map[string]int{}
	p.calling = false
	p.failedAt = time.Time{}
	p.epoch = 0
	p.mustReclaim = true
	p.call(true)
}

// whileRunning runs something now, or when the proxy thaws. What a former process at its address was to do is dropped.
func (p *simulatedProxy) whileRunning(generation uint64, run func()) {
	p.process.Do(func() {
		if generation == p.generation {
			run()
		}
	})
}

func (p *simulatedProxy) arrive(t *simulatedTenant) {
	if p.process.Stopped() {
		return // clients go elsewhere
	}
	t.sent++
	t.ideal.arrive(p.s.now(), t.limit)
	p.whileRunning(p.generation, func() {
		switch {
		case p.buckets.takeOnArrival(p.s.now(), t.name):
			p.s.admit(t)
		case p.s.now().Sub(p.failedAt) < unreachableSpan, p.buckets.exhaustedFor(p.s.now(), t.name) > 0:
			t.refused++
		default:
			p.waiting[t.name]++
			p.call(false)
		}
	})
}

func (p *simulatedProxy) periodic() {
	p.s.clock.After(renewPeriod, p.periodic)
	p.whileRunning(p.generation, func() { p.call(true) })
}

// call sends a renewal to one of the heads, unless one is under way.
func (p *simulatedProxy) call(all bool) {
	if p.calling || p.process.Stopped() {
		return
	}
	needs := p.waiting
	complete := all || p.mustReclaim
	entries := p.buckets.renewalEntries(p.s.now(), needs, complete)
	if len(entries) == 0 && !p.mustReclaim {
		return
	}
	p.waiting = map[string]int{}
	p.calling = true
	p.s.calls++
	p.sequence++
	generation, askedAt := p.generation, p.s.now()
	renewal := &Renewal{Generation: generation, Sequence: p.sequence, Epoch: p.epoch, Complete: complete, Entries: entries}
	answered := false
	finish := func(answer *renewalAnswer) {
		p.whileRunning(generation, func() {
			if !answered {
				answered = true
				p.answer(askedAt, needs, renewal, answer)
			}
		})
	}
	p.s.clock.After(callTimeout, func() { finish(nil) })
	if p.partitioned || len(p.s.heads) == 0 {
		return
	}
	head := p.reachedHead()
	p.s.clock.After(p.s.trip(), func() {
		head.receive(Leaseholder{Address: p.address, Generation: generation}, renewal, func(answer *renewalAnswer) {
			if !p.partitioned && !(p.s.lossy && p.s.random.IntN(200) == 0) {
				p.s.clock.After(p.s.trip(), func() { finish(answer) })
			}
		})
	})
}

// reach says which heads a proxy can call while there are several.
type reach uint8

const (
	reachAll reach = iota
	reachOldest
	reachNewest
)

func (p *simulatedProxy) reachedHead() *simulatedHead {
	heads := p.s.heads
	switch p.reach {
	case reachOldest:
		return heads[0]
	case reachNewest:
		return heads[len(heads)-1]
	case reachAll:
	}
	return heads[p.s.random.IntN(len(heads))]
}

// follow has the proxy present its leases to a new allocator.
func (p *simulatedProxy) follow(epoch uint64) {
	if p.partitioned || p.reach == reachOldest || p.s.lossy && p.s.random.IntN(10) == 0 {
		return
	}
	p.whileRunning(p.generation, func() {
		if epoch >= p.epoch {
			p.epoch = epoch
			p.mustReclaim = true
			p.call(true)
		}
	})
}

// acceptable reports whether an answer comes from the newest allocator that the proxy knows.
func (p *simulatedProxy) acceptable(answer *renewalAnswer) bool {
	return answer != nil && !answer.moved && answer.epoch >= p.epoch
}

// answer applies an answer, or notes the lack of one.
func (p *simulatedProxy) answer(askedAt time.Time, needs map[string]int, renewal *Renewal, answer *renewalAnswer) {
	granted := map[string]int{}
	pause := callPause
	if p.acceptable(answer) {
		p.epoch = answer.epoch
		p.failedAt = time.Time{}
		p.mustReclaim = answer.mustReclaim || p.mustReclaim && !renewal.Complete
		granted = p.buckets.apply(p.s.now(), askedAt, renewal.Entries, answer.grants)
	} else {
		p.failedAt = p.s.now()
		pause = failurePause
	}
	for _, t := range p.s.tenants {
		for range needs[t.name] {
			b := p.buckets.bucket(p.s.now(), t.name)
			switch {
			case granted[t.name] > 0:
				granted[t.name]--
			case b.take():
			default:
				t.refused++
				continue
			}
			p.s.admit(t)
		}
	}
	p.s.checkLeases(renewal.Entries)
	generation := p.generation
	p.s.clock.After(pause, func() {
		p.whileRunning(generation, func() {
			p.calling = false
			if len(p.waiting) > 0 || p.mustReclaim {
				p.call(false)
			}
		})
	})
}

// freeze puts off all that a proxy does in a span.
func (p *simulatedProxy) freeze(from, to time.Duration) {
	p.s.clock.At(from, p.process.Freeze)
	p.s.clock.At(to, p.process.Thaw)
}

func (p *simulatedProxy) partition(from, to time.Duration) {
	p.s.clock.At(from, func() { p.partitioned = true })
	p.s.clock.At(to, func() { p.partitioned = false })
}

func (p *simulatedProxy) restart(at time.Duration) { p.s.clock.At(at, p.reset) }

// kill ends a proxy for some time.
func (p *simulatedProxy) kill(from, to time.Duration) {
	p.s.clock.At(from, p.process.Stop)
	p.s.clock.At(to, func() {
		p.process.Start()
		p.reset()
	})
}

// counts returns the numbers of requests that were sent and refused.
func (s *simulation) counts() (sent, refused int) {
	for _, t := range s.tenants {
		sent += t.sent
		refused += t.refused
	}
	return sent, refused
}
