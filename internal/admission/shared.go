package admission

import "time"

const (
	// sharedValidity is how long what all nodes have at the backends counts after it was told.
	sharedValidity = 400 * time.Millisecond
	// reportIdle is for how long a pool goes on reporting after its last request.
	reportIdle = 2 * time.Second
	// livePartMemory is the time in which the part of the slots that live requests take falls to what they take now.
	liveFractionMemory = 2 * time.Second
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
type otherNodesLoad struct {
	inFlight, batch, unanswered, pending float64 // of other nodes
	ownInFlight, ownBatch, ownUnanswered int
	ownPending                           float64
}

// key is the backend's name in messages about loads.
func (b *backend) key() uint32 { return uint32(b.hash >> 32) }

// Report gives what this node has at its backends, for nodes that choose among the same ones. Backends that tell their load
// make it needless, and so does a pool that is not in use. Unless all are to be named, those are left out at which there is
// nothing.
func (p *Pool) Report(now time.Time, complete bool) (loads []BackendLoad, wanted bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.backendsReportLoad() || now.Sub(p.usedAt) > reportIdle {
		return nil, false
	}
	for _, b := range p.backends {
		b.otherNodes.snapshot(b)
		if complete || b.inFlight > 0 {
			loads = append(loads, BackendLoad{
				Backend:    b.key(),
				InFlight:   b.inFlight,
				Batch:      b.batchInFlight,
				Unanswered: b.unanswered,
				Pending:    b.pending,
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
		if b := p.byKey[loads[i].Backend]; b != nil {
			b.otherNodes.update(&loads[i])
		}
	}
	p.sharedAt = now
	p.updateLiveFraction(now)
}

// tell remembers what this node tells of itself.
func (l *otherNodesLoad) snapshot(b *backend) {
	l.ownInFlight, l.ownBatch, l.ownUnanswered, l.ownPending = b.inFlight, b.batchInFlight, b.unanswered, b.pending
}

// take replaces what other nodes are known to have.
func (l *otherNodesLoad) update(all *BackendLoad) {
	l.inFlight = float64(max(0, all.InFlight-l.ownInFlight))
	l.batch = float64(max(0, all.Batch-l.ownBatch))
	l.unanswered = float64(max(0, all.Unanswered-l.ownUnanswered))
	l.pending = max(0, all.Pending-l.ownPending)
}

// tellsLoad tells whether backends of the service tell their load themselves, as far as is known.
func (p *Pool) backendsReportLoad() bool { return !p.typicalAt.IsZero() }

// isShared tells whether it is known what all nodes have at the backends.
func (p *Pool) hasSharedLoads(now time.Time) bool {
	return !p.backendsReportLoad() && !p.sharedAt.IsZero() && now.Sub(p.sharedAt) < sharedValidity
}

// liveAt is how many live requests all nodes have at a backend.
func (b *backend) liveRequests() float64 {
	return max(0, float64(b.inFlight-b.batchInFlight)+b.otherNodes.inFlight-b.otherNodes.batch)
}

// follow renews what part of the slots live requests take: it rises at once with them, and falls within the time for which
// batch work stays at a backend, as a slot given to it is away for so long.
func (p *Pool) updateLiveFraction(now time.Time) {
	requests, slots := 0.0, 0.0
	for _, b := range p.backends {
		requests += b.liveRequests()
		slots += b.slots
	}
	if slots == 0 {
		return
	}
	part := requests / slots
	fall := freshness(now.Sub(p.liveFractionAt), liveFractionMemory)
	p.liveFraction = max(part, fall*p.liveFraction+(1-fall)*part)
	p.liveFractionAt = now
}

// batchCount is the count that batch work is judged by: batch work at the backend beside the live requests that are there, or
// are to be expected.
func (b *backend) batchLoad(p *Pool) float64 {
	expected := p.liveFraction * b.slots
	return float64(b.batchInFlight) + b.otherNodes.batch + max(b.liveRequests(), expected)
}
