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
	headProofPeriod = 400 * time.Millisecond
	headProofAge    = time.Second
)

// viewConfirmer proves which view of the control chain is the newest: a *chain.Prover.
type viewConfirmer interface {
	ConfirmView(ctx context.Context) (view.View, error)
}

// Headship keeps the proof that this node is the head of the control chain. It implements quota.Headship.
type Headship struct {
	node      chainNode
	confirmer viewConfirmer
	self      view.ReplicaID
	proofAge  time.Duration
	log       *zap.Logger

	mutex sync.Mutex
	// proven and epoch tell when this node was proven to be the head last, and in which epoch.
	proven time.Time
	epoch  uint64
}

// run proves headship at intervals while this node seems to be the head, and whenever it is asked to, until ctx ends.
func (h *Headship) run(ctx context.Context, soon <-chan struct{}) {
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
func (h *Headship) prove(ctx context.Context) {
	if !h.isHead(h.node.View()) {
		return
	}
	begin := time.Now()
	confirmed, err := h.confirmer.ConfirmView(ctx)
	if err != nil {
		h.log.Debug("no proof of headship", zap.Error(err))
		return
	}
	if h.isHead(confirmed) {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.proven, h.epoch = begin, confirmed.Epoch
	}
}

func (h *Headship) isHead(v view.View) bool {
	head, ok := v.Head()
	return ok && head.Replica == h.self
}

// Fresh tells whether a proof that is young enough shows that this node is the head.
func (h *Headship) Fresh() bool {
	h.mutex.Lock()
	proven, epoch := h.proven, h.epoch
	h.mutex.Unlock()
	return !proven.IsZero() && epoch == h.Epoch() && time.Since(proven) < h.proofAge
}

// Epoch tells the view of the control chain.
func (h *Headship) Epoch() uint64 { return h.node.View().Epoch }

// Head is the address of the head as far as this node knows.
func (h *Headship) Head() (netip.AddrPort, bool) {
	head, ok := h.node.View().Head()
	return head.Address, ok
}
