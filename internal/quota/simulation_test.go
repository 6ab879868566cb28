package quota

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/simnet"
)

// This file simulates proxies and allocators: requests arrive in bursts at random proxies, messages are delayed, allocators
// change, and proxies freeze, restart, stop and are partitioned. After each admitted request, the policy's bound is checked
// for the window that ends with the request.

type simulatedTenant struct {
	name     string
	limit    Limit
	demand   float64 // requests a second
	admitted []time.Time
	first    int // index in admitted of the first request in the current window
	sent     int
	refused  int
	ideal    idealBucket // receives all requests, for comparison
	total    idealBucket // models all buckets together and receives the admitted requests
}

// idealBucket is one bucket for all proxies, with the tenant's limit.
type idealBucket struct {
	used    float64
	at      time.Time
	refused int
}

func (b *idealBucket) arrive(now time.Time, l Limit) {
	b.drain(now, l)
	if b.used+1 > l.Burst {
		b.refused++
		return
	}
	b.used++
}

// drain subtracts the tokens that the rate has given since the last call.
func (b *idealBucket) drain(now time.Time, l Limit) {
	b.used = max(0, b.used-l.Rate*now.Sub(b.at).Seconds())
	b.at = now
}

type simulation struct {
	t        *testing.T
	clock    simnet.Clock
	start    time.Time
	random   *rand.Rand
	policy   Policy
	tenants  []*simulatedTenant
	proxies  []*simulatedProxy
	heads    []*simulatedHead // nodes that consider themselves the head, oldest first
	epoch    uint64           // of the newest head
	registry simulatedRegistry
	calls    int
	violated bool
	lossy    bool // some answers are lost
}

var testPolicy = Policy{Window: 5 * time.Second, Lease: 4 * time.Second, Overshoot: 0.1, Allowance: 20}

func newSimulation(t *testing.T, seed uint64, proxies int, tenants []*simulatedTenant) *simulation {
	s := &simulation{
		t: t, start: time.Now(), random: rand.New(rand.NewPCG(seed, 7)), policy: testPolicy, tenants: tenants,
	}
	for i := range proxies {
		p := &simulatedProxy{s: s, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7661)}
		p.reset()
		s.proxies = append(s.proxies, p)
		s.clock.After(time.Duration(s.random.Int64N(int64(renewPeriod))), p.renewPeriodically)
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

// messageDelay returns a random delay for a message.
func (s *simulation) messageDelay() time.Duration {
	return time.Duration((1 + s.random.ExpFloat64()) * float64(time.Millisecond))
}

// now returns the time of the simulated clock.
func (s *simulation) now() time.Time { return s.start.Add(s.clock.Now()) }

// traffic schedules a tenant's requests, which arrive in bursts. Each proxy gets a random share of the bursts.
func (s *simulation) traffic(t *simulatedTenant, rate float64, from, to time.Duration) {
	shares := make([]float64, len(s.proxies))
	sum := 0.0
	for i := range shares {
		shares[i] = s.random.ExpFloat64()
		sum += shares[i]
	}
	const meanBurst = 3
	for at := from.Seconds(); at < to.Seconds(); at += s.random.ExpFloat64() * meanBurst / rate {
		proxy := s.proxies[pickShare(s.random.Float64()*sum, shares)]
		for i := range 1 + s.random.IntN(2*meanBurst-1) {
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

// admit records an admitted request and checks the window that ends with it.
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
	s.checkTotal(t)
}

// checkTotal checks that the admitted requests fit into one bucket with the tenant's rate and the capacity of all buckets,
// plus the surplus that proxies have yet to return: the loss of an allocator or a proxy loses tokens but never adds any.
func (s *simulation) checkTotal(t *simulatedTenant) {
	t.total.drain(s.now(), t.limit)
	t.total.used++
	most := s.policy.capacity(t.limit) + t.limit.Rate*s.policy.surplusSpan().Seconds()
	if t.total.used > most && !s.violated {
		s.violated = true
		s.t.Errorf("%s: requests of one bucket: got %.1f at %v, want %.1f at most", t.name, t.total.used, s.clock.Now(), most)
	}
}

// checkLeases checks for the tenants of a renewal that the leases in force add up to no more than the limit allows.
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
		if over := sum.Rate > t.limit.Rate+rounding || sum.Depth > depthFraction*s.policy.capacity(t.limit)+rounding; over && !s.violated {
			s.violated = true
			s.t.Errorf("%s: sum of leases: got %+v at %v, limit %+v", t.name, sum, s.clock.Now(), t.limit)
		}
	}
}

// counts returns the numbers of requests that were sent and refused.
func (s *simulation) counts() (sent, refused int) {
	for _, t := range s.tenants {
		sent += t.sent
		refused += t.refused
	}
	return sent, refused
}
