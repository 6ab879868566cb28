package proxy

import (
	"context"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/fault"
)

// ownedJobs are the jobs of one tenant, or those that were submitted without a key if tenant is empty.
type ownedJobs struct {
	api    BatchAPI
	tenant string
	// hidden means that the caller has no key although there are tenants: it must not learn of, or change, jobs that do not exist.
	hidden bool
}

func (o *ownedJobs) results(ctx context.Context, job string, startAfter int, wait time.Duration) (batch.Page, error) {
	page, err := o.api.Results(ctx, o.tenant, job, startAfter, wait)
	if o.hidden && fault.KindOf(err) == fault.NotFound {
		return page, fault.New(fault.Unauthorized, "no job without an API key has this identifier")
	}
	return page, err
}

func (o *ownedJobs) itemBody(ctx context.Context, job, item string) ([]byte, error) {
	body, err := o.api.ItemBody(ctx, o.tenant, job, item)
	if err != nil {
		return nil, o.errorUnlessKnown(ctx, job, err)
	}
	return body, nil
}

// end ends a job. It ends one that does not exist as well, which then never runs, unless the jobs are hidden.
func (o *ownedJobs) end(ctx context.Context, job string) error {
	if err := o.errorUnlessKnown(ctx, job, nil); err != nil {
		return err
	}
	return o.api.End(ctx, o.tenant, job)
}

// errorUnlessKnown returns an error if the jobs are hidden and the job cannot be read, and err otherwise.
func (o *ownedJobs) errorUnlessKnown(ctx context.Context, job string, err error) error {
	if !o.hidden {
		return err
	}
	if _, hidden := o.results(ctx, job, 0, 0); hidden != nil {
		return hidden
	}
	return err
}
