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
	// headProofPeriod is the time between two proofs of headship, and headProofAge how long one is used.
	headProofPeriod   = 400 * time.Millisecond
	headProofLifetime = time.Second
)

// viewConfirmer proves which view of the control chain is the newest: a *chain.Prover.
type viewProver interface {
	ConfirmView(ctx context.Context) (view.View, error)
}

// Headship keeps the proof that this node is the head of the control chain. It implements quota.Headship.
type HeadStatus struct {
	node          chainNode
	prover        viewProver
	self          view.ReplicaID
	proofLifetime time.Duration
	log           *zap.Logger

	mutex sync.Mutex
	// proven and epoch tell when this node was proven to be the head last, and in which epoch.
	provenAt    time.Time
	provenEpoch uint64
}

// run proves headship at intervals while this node seems to be the head, and whenever it is asked to, until ctx ends.
func (h *HeadStatus) run(ctx context.Context, soon <-chan struct{}) {
	ticker := time.NewTicker(headProofPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-soon:
		}
		h.prove(ctx)
	}
}

// prove makes one proof, counted from when it begins.
func (h *HeadStatus) prove(ctx context.Context) {
	if !h.isHead(h.node.View()) {
		return
	}
	begin := time.Now()
	confirmed, err := h.prover.ConfirmView(ctx)
	if err != nil {
		h.log.Debug("no proof of headship", zap.Error(err))
		return
	}
	if h.isHead(confirmed) {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.provenAt, h.provenEpoch = begin, confirmed.Epoch
	}
}

func (h *HeadStatus) isHead(v view.View) bool {
	head, ok := v.Head()
	return ok && head.Replica == h.self
}

// Fresh tells whether a proof that is young enough shows that this node is the head.
func (h *HeadStatus) Fresh() bool {
	h.mutex.Lock()
	proven, epoch := h.provenAt, h.provenEpoch
	h.mutex.Unlock()
	return !proven.IsZero() && epoch == h.Epoch() && time.Since(proven) < h.proofLifetime
}

// Epoch tells the view of the control chain.
func (h *HeadStatus) Epoch() uint64 { return h.node.View().Epoch }

// Head is the address of the head as far as this node knows.
func (h *HeadStatus) Head() (netip.AddrPort, bool) {
	head, ok := h.node.View().Head()
	return head.Address, ok
}
