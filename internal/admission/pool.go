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
	backends []*backend // in use: all of the service, or the node's subset of them

	estimates
	shedding       shedding
	recentSegments *segmentMemory

	usedAt         time.Time // of the last request
	sharedAt       time.Time // when the loads of all nodes last came
	liveFraction   float64   // of the slots, taken by live requests of all nodes
	liveFractionAt time.Time

	counts     [classes]classCounts
	candidates [bands][]candidate // of the request at hand; kept for its memory
}

// NewPool returns the pool of a service for a node of a zone. The node's name and the seed determine its random choices,
// the node's name its subset of the backends.
func NewPool(service, node, zone string, seed uint64) *Pool {
	nodeHash := hashOf(node)
	return &Pool{
		zone:           zone,
		node:           nodeHash,
		random:         rand.New(rand.NewPCG(seed^nodeHash, hashOf(service))),
		byID:           make(map[string]*backend),
		estimates:      newEstimates(),
		recentSegments: newSegmentMemory(),
	}
}

// SetBackends replaces the backends. Slots is the service's figure for backends that do not report theirs; 0: not known.
// What is known of a backend that stays is kept.
func (p *Pool) SetBackends(listed []discovery.Backend, slots int) {
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
		b.update(entry, slots)
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

// Pick selects a backend for a request, or refuses the request.
func (p *Pool) Pick(now time.Time, r Request) (*Ticket, *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.usedAt = now
	c := classOf(&r)
	p.recordArrival(now, c)
	found := p.findCandidates(now, &r, c)
	if found.normal == 0 && p.mustShed(c, &found) {
		p.counts[c].refusals[shedByFraction]++
		return nil, p.refuse(found.backlog())
	}
	if p.mustWaitForZone(&r, &found) {
		p.counts[c].refusals[waitsForZone]++
		return nil, p.refuse(0)
	}
	chosen := p.selectBackend(&r, found.normal > 0)
	if chosen == nil {
		p.counts[c].refusals[allBlocked]++
		return nil, p.refuse(found.backlog())
	}
	p.counts[c].recordPick(found.normal > 0, chosen.sameZone)
	return p.ticket(now, &r, chosen), nil
}

// mustWaitForZone reports whether batch work waits for a backend of its own zone rather than pay for bytes between zones.
func (p *Pool) mustWaitForZone(r *Request, found *scanResult) bool {
	if !found.localAwaitsFirstByte || r.Urgent {
		return false
	}
	return len(p.candidates[normalNear])+len(p.candidates[overloadedNear]) == 0
}
