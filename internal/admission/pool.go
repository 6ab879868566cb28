package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"nickelline/internal/discovery"
)

// Pool admits the requests of one service to its backends. It is safe for concurrent use.
type Pool struct {
	mutex    sync.Mutex
	zone     string
	node     uint64 // hash of the node's name
	random   *rand.Rand
	byID     map[string]*backend
	byKey    map[uint32]*backend
	backends []*backend // all backends of the service, or this node's subset of them

	estimates
	shedding       shedding
	recentSegments *segmentSet

	lastRequestAt  time.Time // last call of Pick
	sharedLoadsAt  time.Time // last update of the loads of all nodes
	liveFraction   float64   // expected fraction of the slots that live requests of all nodes take
	liveFractionAt time.Time

	counts     [classes]classCounts
	candidates [bands][]candidate // for the current request; kept between requests to reuse the memory
}

// NewPool returns an empty pool of a service for a node in a zone. The names of the service and of the node and the seed
// determine its random choices. The node's name determines its subset of the backends.
func NewPool(service, node, zone string, seed uint64) *Pool {
	nodeHash := hashOf(node)
	return &Pool{
		zone:           zone,
		node:           nodeHash,
		random:         rand.New(rand.NewPCG(seed^nodeHash, hashOf(service))),
		byID:           make(map[string]*backend),
		estimates:      newEstimates(),
		recentSegments: newSegmentSet(),
	}
}

// SetBackends replaces the backends. serviceSlots is the number of slots of backends whose list entry has none; 0: not
// known. Backends that are in the new list as well keep their state.
func (p *Pool) SetBackends(listed []discovery.Backend, serviceSlots int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	used := subset(listed, p.zone, p.node)
	byID := make(map[string]*backend, len(used))
	byKey := make(map[uint32]*backend, len(used))
	backends := make([]*backend, 0, len(used))
	for _, entry := range used {
		b := p.byID[entry.ID]
		if b == nil {
			b = newBackend(entry, p.zone)
		}
		b.update(entry, serviceSlots)
		byID[entry.ID] = b
		byKey[b.key()] = b
		backends = append(backends, b)
	}
	p.byID = byID
	p.byKey = byKey
	p.backends = backends
}

// Len returns the number of backends in use.
func (p *Pool) Len() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.backends)
}

// Pick selects a backend for a request, or refuses the request: either the ticket or the refusal is nil.
func (p *Pool) Pick(now time.Time, r Request) (*Ticket, *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.firstRequestAt.IsZero() {
		p.firstRequestAt = now
	}
	p.lastRequestAt = now
	c := classOf(&r)
	p.recordArrival(now, c)
	found := p.findCandidates(now, &r, c)
	if found.normal == 0 && p.shouldShed(c, &found) {
		p.counts[c].refusals[shedByFraction]++
		return nil, p.refuse(found.backlog())
	}
	if p.shouldWaitForZone(&r, &found) {
		p.counts[c].refusals[waitsForZone]++
		return nil, p.refuse(0)
	}
	chosen := p.selectBackend(&r, found.normal > 0)
	if chosen == nil {
		p.counts[c].refusals[allBlocked]++
		return nil, p.refuse(found.backlog())
	}
	p.counts[c].recordPick(found.normal > 0, chosen.sameZone)
	return p.newTicket(now, &r, chosen), nil
}

// shouldWaitForZone reports whether batch work has to wait for a backend of the local zone, to avoid the cost of traffic
// between zones.
func (p *Pool) shouldWaitForZone(r *Request, found *scanResult) bool {
	if !found.localAwaitsFirstByte || r.Urgent {
		return false
	}
	return len(p.candidates[normalNear])+len(p.candidates[overloadedNear]) == 0
}
