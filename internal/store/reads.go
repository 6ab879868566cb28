package store

import (
	"context"
	"time"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
)

// results reads a page of a job's results, and waits for the first result if the request says so. Any replica with a fresh
// confirmation that it has applied all committed commands may serve the read.
func (p *partition) results(ctx context.Context, r *batchcall.ResultsRequest) (*batchcall.Reply, error) {
	if err := p.confirmRead(ctx, p.readConfirmationAge); err != nil {
		return p.redirectOrError(err)
	}
	deadline := time.Now().Add(r.Wait)
	page, known, changed := p.state.results(r.Key, r.StartAfter, r.MaxBytes)
	if !known {
		return p.resultsAfterBarrier(ctx, r)
	}
	if changed == nil || !awaitClosed(ctx, changed, time.Until(deadline)) {
		return &batchcall.Reply{Page: &page}, nil
	}
	page, known, _ = p.state.results(r.Key, r.StartAfter, r.MaxBytes)
	if !known {
		return nil, fault.New(fault.NotReady, "the state of the partition was replaced while the read waited for a result")
	}
	return &batchcall.Reply{Page: &page}, nil
}

// resultsAfterBarrier reads a page of a job that was not found, after a barrier, because the job may have been committed just before
// the read. The job does not exist only if it is not found then either.
func (p *partition) resultsAfterBarrier(ctx context.Context, r *batchcall.ResultsRequest) (*batchcall.Reply, error) {
	if err := p.confirmRead(ctx, 0); err != nil {
		return p.redirectOrError(err)
	}
	page, known, _ := p.state.results(r.Key, r.StartAfter, r.MaxBytes)
	if !known {
		return nil, fault.New(fault.NotFound, "no such batch job")
	}
	return &batchcall.Reply{Page: &page}, nil
}

// body reads the body of an item, and reads again after a barrier if it is not found.
func (p *partition) body(ctx context.Context, r *batchcall.BodyRequest) (*batchcall.Reply, error) {
	for _, maxAge := range []time.Duration{p.readConfirmationAge, 0} {
		if err := p.confirmRead(ctx, maxAge); err != nil {
			return p.redirectOrError(err)
		}
		if body, ok := p.state.body(r.Key, r.Identifier); ok {
			return &batchcall.Reply{Body: body}, nil
		}
	}
	return nil, fault.New(fault.NotFound, "no item with that identifier whose body is kept")
}

// confirmRead is confirm, bounded by barrierTimeout.
func (p *partition) confirmRead(ctx context.Context, maxAge time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return p.confirm(ctx, maxAge)
}

// redirectOrError redirects a read that failed with err to the head, or returns the error if this store is the head.
func (p *partition) redirectOrError(err error) (*batchcall.Reply, error) {
	if redirect := p.redirect(); redirect != nil {
		return &batchcall.Reply{Redirect: redirect}, nil
	}
	return nil, fault.Wrap(fault.NotReady, err)
}

// awaitClosed waits until a channel is closed, and reports whether that happened before the limit and the end of the context.
func awaitClosed(ctx context.Context, closed <-chan struct{}, limit time.Duration) bool {
	if limit <= 0 {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
