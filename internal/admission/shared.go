package admission

import "time"

const (
	// sharedValidity is how long what all nodes have at the backends counts after it was told.
	sharedValidity = 400 * time.Millisecond
	// reportIdle is for how long a pool goes on reporting after its last request.
	reportIdle = 2 * time.Second
	// livePartMemory is the time in which the part of the slots that live requests take falls to what they take now.
	livePartMemory = 2 * time.Second
)

// BackendLoad is what some nodes have at one backend.
type BackendLoad struct {
	// Backend is a hash of the backend's identifier.
	Backend uint32
	// InFlight counts requests without a complete answer: Batch those of them that are items of batch jobs, Unanswered those
	// without a first part of an answer.
	InFlight, Batch, Unanswered int
	// Pending is the size of the unanswered requests, as a multiple of a mean one.
	Pending float64
}

// sharedLoad is what other nodes have at a backend, and what this node had told of itself when it was told so.
type sharedLoad struct {
	inFlight, batch, unanswered, pending    float64 // of other nodes
	toldInFlight, toldBatch, toldUnanswered int
	toldPending                             float64
}

// key is the backend's name in messages about loads.
func (s *server) key() uint32 { return uint32(s.hash >> 32) }

// Report gives what this node has at its backends, for nodes that choose among the same ones. Backends that tell their load
// make it needless, and so does a pool that is not in use. Unless all are to be named, those are left out at which there is
// nothing.
func (p *Pool) Report(now time.Time, complete bool) (loads []BackendLoad, wanted bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.tellsLoad() || now.Sub(p.usedAt) > reportIdle {
		return nil, false
	}
	for _, s := range p.servers {
		s.shared.tell(s)
		if complete || s.inFlight > 0 {
			loads = append(loads, BackendLoad{
				Backend:    s.key(),
				InFlight:   s.inFlight,
				Batch:      s.batch,
				Unanswered: s.unanswered,
				Pending:    s.pending,
			})
		}
	}
	return loads, true
}

// Share takes what all nodes have, in answer to the last report.
func (p *Pool) Share(now time.Time, loads []BackendLoad) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i := range loads {
		if s := p.byKey[loads[i].Backend]; s != nil {
			s.shared.take(&loads[i])
		}
	}
	p.sharedAt = now
	p.follow(now)
}

// tell remembers what this node tells of itself.
func (l *sharedLoad) tell(s *server) {
	l.toldInFlight, l.toldBatch, l.toldUnanswered, l.toldPending = s.inFlight, s.batch, s.unanswered, s.pending
}

// take replaces what other nodes are known to have.
func (l *sharedLoad) take(all *BackendLoad) {
	l.inFlight = float64(max(0, all.InFlight-l.toldInFlight))
	l.batch = float64(max(0, all.Batch-l.toldBatch))
	l.unanswered = float64(max(0, all.Unanswered-l.toldUnanswered))
	l.pending = max(0, all.Pending-l.toldPending)
}

// tellsLoad tells whether backends of the service tell their load themselves, as far as is known.
func (p *Pool) tellsLoad() bool { return !p.typicalAt.IsZero() }

// isShared tells whether it is known what all nodes have at the backends.
func (p *Pool) isShared(now time.Time) bool {
	return !p.tellsLoad() && !p.sharedAt.IsZero() && now.Sub(p.sharedAt) < sharedValidity
}

// liveAt is how many live requests all nodes have at a backend.
func (s *server) liveAt() float64 {
	return max(0, float64(s.inFlight-s.batch)+s.shared.inFlight-s.shared.batch)
}

// follow renews what part of the slots live requests take: it rises at once with them, and falls within the time for which
// batch work stays at a backend, as a slot given to it is away for so long.
func (p *Pool) follow(now time.Time) {
	requests, slots := 0.0, 0.0
	for _, s := range p.servers {
		requests += s.liveAt()
		slots += s.slots
	}
	if slots == 0 {
		return
	}
	part := requests / slots
	fall := remaining(now.Sub(p.livePartAt), livePartMemory)
	p.livePart = max(part, fall*p.livePart+(1-fall)*part)
	p.livePartAt = now
}

// batchCount is the count that batch work is judged by: batch work at the backend beside the live requests that are there, or
// are to be expected.
func (s *server) batchCount(p *Pool) float64 {
	expected := p.livePart * s.slots
	return float64(s.batch) + s.shared.batch + max(s.liveAt(), expected)
}
