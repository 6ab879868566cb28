package chain

import (
	"context"
	"sync"
	"time"

	"nickelline/internal/view"
)

// Timing of the checks of neighbours. A chain stands still while a member cannot reach its neighbour, and the table of
// members does not show that as long as others can reach both.
const (
	probeInterval       = 300 * time.Millisecond
	unresponsiveTimeout = 1200 * time.Millisecond // of silence, after which a neighbour counts as unreachable
	probeTimeout        = 600 * time.Millisecond  // for one question
)

// neighbourProbes tells which of the members beside this replica can be reached from here. The members are taken as a ring: the
// tail is beside the head, as what is committed has to be read at both.
type neighbourProbes struct {
	mutex      sync.Mutex
	lastAnswer map[view.ReplicaID]time.Duration // when the members beside this one answered last
	epoch      uint64
	lastProbe  time.Duration // when they were asked last
}

// ringNeighbours gives the members before and after a replica in the ring of a view.
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

// observe begins anew with each view, and after this replica itself was held up: silence tells nothing then.
func (n *neighbourProbes) observe(now time.Duration, v view.View, self view.ReplicaID) []view.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	members := ringNeighbours(v, self)
	heldUp := now-n.lastProbe > 2*probeInterval
	if v.Epoch != n.epoch || heldUp {
		n.epoch = v.Epoch
		n.lastAnswer = make(map[view.ReplicaID]time.Duration, len(members))
		for _, m := range members {
			n.lastAnswer[m.Replica] = now
		}
	}
	n.lastProbe = now
	return members
}

// answered notes that a member answered.
func (n *neighbourProbes) answered(now time.Duration, replica view.ReplicaID) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if _, watched := n.lastAnswer[replica]; watched {
		n.lastAnswer[replica] = now
	}
}

// unresponsive tells whether a member beside this replica has not answered for too long.
func (n *neighbourProbes) unresponsive(now time.Duration, replica view.ReplicaID) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	lastAnswer, watched := n.lastAnswer[replica]
	return watched && now-lastAnswer > unresponsiveTimeout && now-n.lastProbe <= 2*probeInterval
}

// probeNeighbours asks the members beside this replica again and again until ctx ends.
func (r *Reconfigurer) probeNeighbours(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		v := r.node.View()
		silent := false
		for _, m := range r.probes.observe(r.now(), v, r.self().Replica) {
			go r.probeNeighbour(ctx, m)
			silent = silent || r.probes.unresponsive(r.now(), m.Replica)
		}
		if silent {
			notify(r.wake)
		}
	}
}

func (r *Reconfigurer) probeNeighbour(ctx context.Context, m view.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := r.call(ctx, m.Address, agreementRequest{}); err == nil {
		r.probes.answered(r.now(), m.Replica)
	}
}
