package store

import (
	"context"
	"time"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
)

// results reads a page of a job's results, and waits for the first one if the request says so. Any replica answers that has a young
// confirmation that it has applied what is committed.
func (p *partition) results(ctx context.Context, r *batchcall.ResultsRequest) (*batchcall.Reply, error) {
	if err := p.confirmRead(ctx, p.readConfirmationAge); err != nil {
		return p.redirectOr(err)
	}
	deadline := time.Now().Add(r.Wait)
	page, known, changed := p.state.results(r.Key, r.StartAfter, r.MaxBytes)
	if !known {
		return p.resultsBehindBarrier(ctx, r)
	}
	if changed == nil || !awaitClosed(ctx, changed, time.Until(deadline)) {
		return &batchcall.Reply{Page: &page}, nil
	}
	page, known, _ = p.state.results(r.Key, r.StartAfter, r.MaxBytes)
	if !known {
		return nil, fault.New(fault.NotReady, "the partition was replaced while the answer was held")
	}
	return &batchcall.Reply{Page: &page}, nil
}

// resultsBehindBarrier reads a page of a job that was not found, after a barrier: it may have been committed just before. Only then
// does the job not exist.
func (p *partition) resultsBehindBarrier(ctx context.Context, r *batchcall.ResultsRequest) (*batchcall.Reply, error) {
	if err := p.confirmRead(ctx, 0); err != nil {
		return p.redirectOr(err)
	}
	page, known, _ := p.state.results(r.Key, r.StartAfter, r.MaxBytes)
	if !known {
		return nil, fault.New(fault.NotFound, "no such batch job")
	}
	return &batchcall.Reply{Page: &page}, nil
}

// body reads the body of an item, with a second look behind a barrier if it is not found.
func (p *partition) body(ctx context.Context, r *batchcall.BodyRequest) (*batchcall.Reply, error) {
	for _, maxAge := range []time.Duration{p.readConfirmationAge, 0} {
		if err := p.confirmRead(ctx, maxAge); err != nil {
			return p.redirectOr(err)
		}
		if body, ok := p.state.body(r.Key, r.Identifier); ok {
			return &batchcall.Reply{Body: body}, nil
		}
	}
	return nil, fault.New(fault.NotFound, "no such item whose body is kept")
}

// confirmRead is confirm within the time that a read may wait.
func (p *partition) confirmRead(ctx context.Context, maxAge time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return p.confirm(ctx, maxAge)
}

// redirectOr redirects a reader to the head if this store cannot answer and is not the head itself. Otherwise the error stands.
func (p *partition) redirectOr(err error) (*batchcall.Reply, error) {
	if redirect := p.redirect(); redirect != nil {
		return &batchcall.Reply{Redirect: redirect}, nil
	}
	return nil, fault.Wrap(fault.NotReady, err)
}

// awaitClosed waits until a channel is closed, and reports whether that came before the limit and the end of the context.
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
