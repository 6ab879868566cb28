package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/view"
)

const (
	// headProofPeriod is the time between two proofs that this node is the head.
	headProofPeriod = 400 * time.Millisecond
	// headProofLifetime is how long after its beginning a proof counts.
	headProofLifetime = time.Second
)

// viewProver proves which view of the control chain is the latest: a *chain.Prover.
type viewProver interface {
	ConfirmView(ctx context.Context) (view.View, error)
}

// HeadStatus is whether this node is the head of the control chain, as chain replication calls the replica that writes go
// to. It is what a leader lease is in Raft: a proof by a quorum of the voters that no later view was decided when the proof
// began, which counts for a limited time by this node's monotonic clock. A former head may take itself for the head until
// that time has passed; whoever acts on HeadStatus must tolerate that. It implements quota.HeadStatus, and may be used
// concurrently.
type HeadStatus struct {
	node          chainNode
	prover        viewProver
	self          view.ReplicaID
	proofLifetime time.Duration
	log           *zap.Logger

	mutex sync.Mutex
	// provenAt is when the latest successful proof began, zero if there was none, and provenEpoch the epoch that it was for.
	provenAt    time.Time
	provenEpoch uint64
}

// run makes proofs at intervals while this node seems to be the head, and whenever wake is signalled, until ctx ends.
func (h *HeadStatus) run(ctx context.Context, wake <-chan struct{}) {
	proveRepeatedly(ctx, headProofPeriod, wake, h.prove)
}

// prove makes one proof, if this node seems to be the head. It counts from when it begins. It reports whether there is no need for
// another one soon.
func (h *HeadStatus) prove(ctx context.Context) bool {
	if !h.isHead(h.node.View()) {
		return true
	}
	begin := time.Now()
	confirmed, err := h.prover.ConfirmView(ctx)
	if err != nil {
		h.log.Debug("prove head status failed", zap.Uint64("epoch", h.Epoch()), zap.Error(err))
		return false
	}
	if h.isHead(confirmed) {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.provenAt, h.provenEpoch = begin, confirmed.Epoch
	}
	return true
}

func (h *HeadStatus) isHead(v view.View) bool {
	head, ok := v.Head()
	return ok && head.Replica == h.self
}

// Fresh reports whether a proof that still counts shows that this node is the head in the current epoch.
func (h *HeadStatus) Fresh() bool {
	h.mutex.Lock()
	provenAt, provenEpoch := h.provenAt, h.provenEpoch
	h.mutex.Unlock()
	return !provenAt.IsZero() && provenEpoch == h.Epoch() && time.Since(provenAt) < h.proofLifetime
}

// Epoch returns the epoch of the control chain's view that is installed here.
func (h *HeadStatus) Epoch() uint64 { return h.node.View().Epoch }

// Head returns the address of the head in that view, and whether there is one.
func (h *HeadStatus) Head() (netip.AddrPort, bool) {
	head, ok := h.node.View().Head()
	return head.Address, ok
}
