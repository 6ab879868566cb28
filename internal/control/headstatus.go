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
	// headProofPeriod is the interval of the proofs that this node is the head.
	headProofPeriod = 400 * time.Millisecond
	// headProofLifetime is how long a proof is valid, from when it began.
	headProofLifetime = time.Second
)

// viewProver proves which view of the control chain is the latest. It is implemented by *chain.Prover.
type viewProver interface {
	ConfirmView(ctx context.Context) (view.View, error)
}

// HeadStatus proves that this node is the head of the control chain, the replica to which writes are sent. It resembles a
// leader lease in Raft: a quorum of the voters confirms that no later view had been decided when the proof began, and the
// proof is valid for a limited time by this node's monotonic clock. A former head may consider itself the head until that time
// has passed; users of HeadStatus must tolerate that. HeadStatus implements quota.HeadStatus. Its methods may be called
// concurrently.
type HeadStatus struct {
	node          chainNode
	prover        viewProver
	self          view.ReplicaID
	proofLifetime time.Duration
	log           *zap.Logger

	mutex sync.Mutex
	// provenAt is when the latest successful proof began, zero if there was none, and provenEpoch is the epoch that it proved.
	provenAt    time.Time
	provenEpoch uint64
}

// run makes proofs at intervals and whenever wake is signalled, until ctx ends. It makes none while this node does not appear
// to be the head.
func (h *HeadStatus) run(ctx context.Context, wake <-chan struct{}) {
	proveRepeatedly(ctx, headProofPeriod, wake, h.prove)
}

// prove makes one proof, if this node appears to be the head. The proof is valid from when it began, not from when the voters
// have responded. prove returns false if the proof failed, so that it is retried soon.
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

// Fresh reports whether an unexpired proof shows that this node is the head in the current epoch.
func (h *HeadStatus) Fresh() bool {
	h.mutex.Lock()
	provenAt, provenEpoch := h.provenAt, h.provenEpoch
	h.mutex.Unlock()
	return !provenAt.IsZero() && provenEpoch == h.Epoch() && time.Since(provenAt) < h.proofLifetime
}

// Epoch returns the epoch of the control chain's view that is in force here.
func (h *HeadStatus) Epoch() uint64 { return h.node.View().Epoch }

// Head returns the address of the head in the view that is in force here, and whether there is one.
func (h *HeadStatus) Head() (netip.AddrPort, bool) {
	head, ok := h.node.View().Head()
	return head.Address, ok
}
