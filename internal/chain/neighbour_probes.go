package chain

import (
	"context"
	"sync"
	"time"

	"nickelline/internal/pause"
	"nickelline/internal/view"
)

// Timing of the probes of neighbours. A chain commits nothing while a member cannot reach its neighbour, and the table
// of members does not show such a failure as long as others can reach both.
const (
	probeInterval       = 300 * time.Millisecond
	unresponsiveTimeout = 1200 * time.Millisecond // without an answer, after which a neighbour counts as unreachable
	probeTimeout        = 600 * time.Millisecond  // of one probe
)

// neighbourProbes records which of the members next to this replica answer its probes. The members form a ring for this
// purpose: the tail is next to the head, as committed data has to be read at both.
type neighbourProbes struct {
	mutex      sync.Mutex
	lastAnswer map[view.ReplicaID]time.Duration // when each neighbour answered last
	epoch      uint64                           // of the view that names the neighbours
	lastProbe  time.Duration                    // when the neighbours were probed last
}

// ringNeighbours returns the members before and after a replica in the ring of a view.
func ringNeighbours(v view.View, self view.ReplicaID) []view.Member {
	count := len(v.Members)
	index := v.Index(self)
	if index < 0 || count < 2 {
		return nil
	}
	after := v.Members[(index+1)%count]
	before := v.Members[(index+count-1)%count]
	if after.Replica == before.Replica {
		return []view.Member{after}
	}
	return []view.Member{before, after}
}

// beginProbe returns the members to probe now. It forgets earlier answers with each new view, and after a pause of this
// process itself, as a missing answer then says nothing about the neighbour.
func (n *neighbourProbes) beginProbe(now time.Duration, v view.View, self view.ReplicaID) []view.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	members := ringNeighbours(v, self)
	paused := now-n.lastProbe > 2*probeInterval
	if v.Epoch != n.epoch || paused {
		n.epoch = v.Epoch
		n.lastAnswer = make(map[view.ReplicaID]time.Duration, len(members))
		for _, m := range members {
			n.lastAnswer[m.Replica] = now
		}
	}
	n.lastProbe = now
	return members
}

// answered records that a member answered.
func (n *neighbourProbes) answered(now time.Duration, replica view.ReplicaID) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if _, watched := n.lastAnswer[replica]; watched {
		n.lastAnswer[replica] = now
	}
}

// unresponsive reports whether a neighbour in the view of an epoch has not answered for unresponsiveTimeout although it was probed. What
// was found out in another epoch says nothing: a replica that was dropped and is back in the view would be dropped again at once.
func (n *neighbourProbes) unresponsive(now time.Duration, epoch uint64, replica view.ReplicaID) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	lastAnswer, watched := n.lastAnswer[replica]
	return watched && epoch == n.epoch && now-lastAnswer > unresponsiveTimeout && now-n.lastProbe <= 2*probeInterval
}

// probeNeighbours probes the neighbours of this replica every probeInterval until ctx ends.
func (r *Reconfigurer) probeNeighbours(ctx context.Context) {
	pause.Every(ctx, probeInterval, nil, func() { r.probeNeighboursOnce(ctx) })
}

// probeNeighboursOnce sends a probe to each neighbour, and wakes the reconfigurer if one does not answer.
func (r *Reconfigurer) probeNeighboursOnce(ctx context.Context) {
	unresponsive := false
	v := r.node.View()
	for _, m := range r.probes.beginProbe(r.now(), v, r.self().Replica) {
		go r.probeNeighbour(ctx, m)
		unresponsive = unresponsive || r.probes.unresponsive(r.now(), v.Epoch, m.Replica)
	}
	if unresponsive {
		notify(r.wake)
	}
}

// probeNeighbour sends one probe.
func (r *Reconfigurer) probeNeighbour(ctx context.Context, m view.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := r.call(ctx, m.Address, agreementRequest{}); err == nil {
		r.probes.answered(r.now(), m.Replica)
	}
}
