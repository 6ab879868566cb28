package admission

import "time"

const (
	// sharedValidity is how long the loads of all nodes are valid after an update.
	sharedValidity = 400 * time.Millisecond
	// reportIdleTime is how long after its last request a pool still needs to report its loads.
	reportIdleTime = 2 * time.Second
	// liveFractionDecayTime is the time in which the expected fraction of slots that live requests take falls to the current
	// one.
	liveFractionDecayTime = 2 * time.Second
)

// BackendLoad is the load that one or several nodes cause at one backend.
type BackendLoad struct {
	// Backend is a hash of the backend's identifier.
	Backend uint32
	// InFlight counts requests without a complete response, Batch those of them that are items of batch jobs, and
	// Unanswered those of them without the first byte of a response.
	InFlight, Batch, Unanswered int
	// Pending is the total size of the unanswered requests, as a multiple of the size of a mean request.
	Pending float64
}

// otherNodesLoad is the load that other nodes cause at a backend. The totals of all nodes include the last report of this
// node, which is kept in the own* fields to subtract it.
type otherNodesLoad struct {
	inFlight, batch, unanswered, pending float64

	ownInFlight, ownBatch, ownUnanswered int
	ownPending                           float64
}

// key returns the identifier of the backend in a BackendLoad.
func (b *backend) key() uint32 { return uint32(b.hash >> 32) }

// LocalLoads returns the loads that this node causes at its backends, to be reported to the other nodes. Unless complete is
// set, it leaves out backends without requests. No report is needed if the backends report their load themselves, or if
// the pool has received no request for reportIdleTime.
func (p *Pool) LocalLoads(now time.Time, complete bool) (loads []BackendLoad, needed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.backendsReportLoad() || now.Sub(p.lastRequestAt) > reportIdleTime {
		return nil, false
	}
	for _, b := range p.backends {
		b.otherNodes.recordOwn(b)
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

// SetTotalLoads records the loads that all nodes cause. They include those that the last call of LocalLoads returned.
func (p *Pool) SetTotalLoads(now time.Time, loads []BackendLoad) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i := range loads {
		if b := p.byKey[loads[i].Backend]; b != nil {
			b.otherNodes.update(&loads[i])
		}
	}
	p.sharedLoadsAt = now
	p.updateLiveFraction(now)
}

// recordOwn records the load of this node that goes into its report.
func (l *otherNodesLoad) recordOwn(b *backend) {
	l.ownInFlight, l.ownBatch, l.ownUnanswered, l.ownPending = b.inFlight, b.batchInFlight, b.unanswered, b.pending
}

// update sets the load of other nodes to the load of all nodes less the reported load of this node.
func (l *otherNodesLoad) update(all *BackendLoad) {
	l.inFlight = float64(max(0, all.InFlight-l.ownInFlight))
	l.batch = float64(max(0, all.Batch-l.ownBatch))
	l.unanswered = float64(max(0, all.Unanswered-l.ownUnanswered))
	l.pending = max(0, all.Pending-l.ownPending)
}

// hasSharedLoads reports whether valid loads of all nodes are known.
func (p *Pool) hasSharedLoads(now time.Time) bool {
	return !p.backendsReportLoad() && !p.sharedLoadsAt.IsZero() && now.Sub(p.sharedLoadsAt) < sharedValidity
}

// liveRequests returns the number of live requests of all nodes at the backend.
func (b *backend) liveRequests() float64 {
	return max(0, float64(b.inFlight-b.batchInFlight)+b.otherNodes.inFlight-b.otherNodes.batch)
}

// updateLiveFraction updates the expected fraction of slots that live requests take. It rises at once, but falls only over
// the time for which a request of batch work stays at a backend, since batch work occupies a slot for that long.
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
	fresh := freshness(now.Sub(p.liveFractionAt), liveFractionDecayTime)
	p.liveFraction = max(current, fresh*p.liveFraction+(1-fresh)*current)
	p.liveFractionAt = now
}

// batchLoad returns the load that determines the mode for batch work: the batch work at the backend, plus its live requests
// or the expected number of them if that is greater.
func (b *backend) batchLoad(p *Pool) float64 {
	expected := p.liveFraction * b.slots
	return float64(b.batchInFlight) + b.otherNodes.batch + max(b.liveRequests(), expected)
}
