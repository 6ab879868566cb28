package quota

import (
	"net/netip"
	"time"

	"nickelline/internal/simnet"
)

// simulatedProxy is a proxy with the token buckets of the Limiter and a simulation of its calls.
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
	epoch       uint64 // newest known epoch of an allocator
	mustReclaim bool   // the allocator may not know all leases
	failedAt    time.Time
}

// reset starts a new process at the address of the proxy.
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

// whileRunning calls run now, or when the proxy thaws. It drops calls of former processes at the address.
func (p *simulatedProxy) whileRunning(generation uint64, run func()) {
	p.process.Do(func() {
		if generation == p.generation {
			run()
		}
	})
}

func (p *simulatedProxy) arrive(t *simulatedTenant) {
	if p.process.Stopped() {
		return // clients send their requests to other proxies
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

func (p *simulatedProxy) renewPeriodically() {
	p.s.clock.After(renewPeriod, p.renewPeriodically)
	p.whileRunning(p.generation, func() { p.call(true) })
}

// call sends a renewal to one of the heads, unless a renewal is in progress.
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
	p.s.clock.After(p.s.messageDelay(), func() {
		head.receive(Leaseholder{Address: p.address, Generation: generation}, renewal, func(answer *renewalAnswer) {
			if !p.partitioned && !(p.s.lossy && p.s.random.IntN(200) == 0) {
				p.s.clock.After(p.s.messageDelay(), func() { finish(answer) })
			}
		})
	})
}

// reach tells which heads a proxy can call while there are several.
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

// follow handles the announcement of a new allocator: the proxy presents its leases to it.
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

// answer applies an answer, or records that the call failed, and resolves the waiting requests.
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

// freeze suspends a proxy between two times: what it would do in between, it does at the second one.
func (p *simulatedProxy) freeze(from, to time.Duration) {
	p.s.clock.At(from, p.process.Freeze)
	p.s.clock.At(to, p.process.Thaw)
}

func (p *simulatedProxy) partition(from, to time.Duration) {
	p.s.clock.At(from, func() { p.partitioned = true })
	p.s.clock.At(to, func() { p.partitioned = false })
}

func (p *simulatedProxy) restart(at time.Duration) { p.s.clock.At(at, p.reset) }

// kill stops a proxy and starts a new process at its address later.
func (p *simulatedProxy) kill(from, to time.Duration) {
	p.s.clock.At(from, p.process.Stop)
	p.s.clock.At(to, func() {
		p.process.Start()
		p.reset()
	})
}
