package store

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// cancelAttempts cancels attempts whose backend is unresponsive, or all attempts if this store may no longer be the head.
func (r *runner) cancelAttempts(ctx context.Context, now time.Time) {
	r.renewConfirmation(ctx)
	mayBeDeposed := !r.partition.confirmation.isFresh(r.config.stepDownAfter)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, a := range r.running {
		switch {
		case mayBeDeposed:
			a.cancel(errNotHead)
		case a.isUnresponsive(now):
			a.cancel(errUnresponsive)
		}
	}
}

// renewConfirmation renews the confirmation of leadership while items run, unless a recent commit has already renewed it.
func (r *runner) renewConfirmation(ctx context.Context) {
	r.mutex.Lock()
	busy := len(r.running) > 0
	r.mutex.Unlock()
	if !busy {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.sendConfirmationAge)
	defer cancel()
	if err := r.partition.confirm(ctx, r.config.sendConfirmationAge); err != nil {
		r.config.log.Debug("confirm head failed", zap.Uint32("partition", r.partition.number), zap.Error(err))
	}
}
