package admission

import "time"

const (
	// sharedValidity is how long the loads of all nodes count after they came.
	sharedValidity = 400 * time.Millisecond
	// reportIdle is how long a pool goes on reporting after its last request.
	reportIdle = 2 * time.Second
	// liveFractionMemory is the time within which the fraction of slots that live requests take falls to the present one.
	liveFractionMemory = 2 * time.Second
)

// BackendLoad is the number of requests that some nodes have at one backend.
type BackendLoad struct {
	// Backend is a hash of the backend's identifier.
	Backend uint32
	// InFlight counts requests without a complete answer: Batch those of them that are items of batch jobs, Unanswered those
	// without the first byte of an answer.
	InFlight, Batch, Unanswered int
	// Pending is the size of the unanswered requests, as a multiple of a mean request.
	Pending float64
}

// otherNodesLoad is what other nodes have at a backend. The sums that come include this node's last report, so that is
// kept to be subtracted.
type otherNodesLoad struct {
	inFlight, batch, unanswered, pending float64

	ownInFlight, ownBatch, ownUnanswered int
	ownPending                           float64
}

// key returns the name of the backend in messages about loads.
func (b *backend) key() uint32 { return uint32(b.hash >> 32) }

// Report returns what this node has at its backends, for nodes that select among the same ones. Unless the report is to be
// complete, backends without requests are left out. No report is needed where backends report their load themselves, nor
// from a pool that is not in use.
func (p *Pool) Report(now time.Time, complete bool) (loads []BackendLoad, needed bool) {
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

// Share takes the loads of all nodes, the answer to the last report.
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

// snapshot keeps what this node reports of itself.
func (l *otherNodesLoad) snapshot(b *backend) {
	l.ownInFlight, l.ownBatch, l.ownUnanswered, l.ownPending = b.inFlight, b.batchInFlight, b.unanswered, b.pending
}

// update sets the load of other nodes from that of all nodes.
func (l *otherNodesLoad) update(all *BackendLoad) {
	l.inFlight = float64(max(0, all.InFlight-l.ownInFlight))
	l.batch = float64(max(0, all.Batch-l.ownBatch))
	l.unanswered = float64(max(0, all.Unanswered-l.ownUnanswered))
	l.pending = max(0, all.Pending-l.ownPending)
}

// hasSharedLoads reports whether the loads of all nodes at the backends are known.
func (p *Pool) hasSharedLoads(now time.Time) bool {
	return !p.backendsReportLoad() && !p.sharedAt.IsZero() && now.Sub(p.sharedAt) < sharedValidity
}

// liveRequests returns the number of live requests of all nodes at the backend.
func (b *backend) liveRequests() float64 {
	return max(0, float64(b.inFlight-b.batchInFlight)+b.otherNodes.inFlight-b.otherNodes.batch)
}

// updateLiveFraction updates the fraction of slots that live requests take. It rises at once, and falls within the time
// that batch work stays at a backend, since a slot given to batch work is taken for so long.
func (p *Pool) updateLiveFraction(now time.Time) {
	requests, slots := 0.0, 0.0
	for _, b := range p.backends {
		requests += b.liveRequests()
		slots += b.slots
	}
	if slots == 0 {
		return
	}
	current := requests / slots
	fresh := freshness(now.Sub(p.liveFractionAt), liveFractionMemory)
	p.liveFraction = max(current, fresh*p.liveFraction+(1-fresh)*current)
	p.liveFractionAt = now
}

// batchLoad returns the load that decides about batch work: the batch work at the backend, and the live requests that are
// there or have to be expected.
func (b *backend) batchLoad(p *Pool) float64 {
	expected := p.liveFraction * b.slots
	return float64(b.batchInFlight) + b.otherNodes.batch + max(b.liveRequests(), expected)
}
