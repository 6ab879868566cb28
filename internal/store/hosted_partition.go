package store

import (
	"context"
	"sync"
	"sync/atomic"

	"nickelline/internal/chain"
	"nickelline/internal/view"
)

// hostedPartition is a partition that this store hosts: its replica, and its runner while the replica is the head.
//
// Goroutines: each runner has one, which viewChanged starts when a term of the replica begins. It ends when the term ends or the
// partition is closed; the next runner, and close, wait for it. While the replica is a learner, another goroutine keeps it caught up.
// setLearner starts and stops that goroutine, and close stops it; nothing waits for its end.
type hostedPartition struct {
	service      *Service
	partition    *partition
	node         *chain.Node
	stopLearning context.CancelFunc // not nil while the replica is a learner; guarded by the service's mutex
	runner       atomic.Pointer[runner]

	mutex       sync.Mutex
	stopRunning context.CancelFunc // not nil while there is a runner that has not been stopped
	term        uint64             // of that runner
	runnerEnded chan struct{}      // closed when the last runner has ended; nil if there was none
	closed      bool
}

func newHostedPartition(s *Service, number uint32) *hostedPartition {
	p := &partition{number: number, state: newState(), clock: newHeadClock(), readConfirmationAge: s.readConfirmationAge}
	return &hostedPartition{service: s, partition: p}
}

// start connects the replica to the partition, and follows its views.
func (h *hostedPartition) start(node *chain.Node) {
	h.node = node
	h.partition.replica = node
	node.OnView(func(v view.View) {
		h.viewChanged()
		h.service.requestReport()
		if !v.Has(h.service.options.Self.Replica) {
			go h.service.reapplyPlacement(h.partition.number)
		}
	})
	h.viewChanged()
}

// viewChanged starts a runner when a term of the replica has begun, and stops it when the term has ended.
func (h *hostedPartition) viewChanged() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	term := h.node.HeadTerm()
	if h.stopRunning != nil && term != h.term {
		h.stopRunner()
	}
	if h.stopRunning == nil && term != 0 && !h.closed {
		h.startRunner(term)
	}
}

// startRunner starts the runner of a term. The runner waits until the previous one has ended. The caller holds the mutex.
func (h *hostedPartition) startRunner(term uint64) {
	ctx, cancel := context.WithCancel(h.service.ctx)
	previous, ended := h.runnerEnded, make(chan struct{})
	h.stopRunning, h.runnerEnded = cancel, ended
	h.term = term
	go func() {
		defer close(ended)
		if previous != nil {
			<-previous
		}
		r := newRunner(h.service.runnerConfig, h.partition, term)
		h.runner.Store(r)
		r.run(ctx)
		h.runner.CompareAndSwap(r, nil)
	}()
}

// stopRunner stops the runner without waiting, and discards the confirmation of its leadership. The caller holds the mutex.
func (h *hostedPartition) stopRunner() {
	h.stopRunning()
	h.stopRunning = nil
	h.partition.confirmation.reset()
}

// close stops all goroutines of the partition, waits for the runner, and closes the replica.
func (h *hostedPartition) close() {
	h.setLearner(false)
	h.mutex.Lock()
	h.closed = true
	if h.stopRunning != nil {
		h.stopRunner()
	}
	ended := h.runnerEnded
	h.mutex.Unlock()
	if ended != nil {
		<-ended
	}
	h.node.Close()
}
