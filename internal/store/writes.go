package store

import (
	"context"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
)

var errQueueFull = fault.New(fault.QuotaExceeded, "the job exceeds the tokens that its tenant may have queued on the route")

// submit accepts a job once it is committed. An error of a kind other than Unclear promises that the job is not and will not be
// committed.
func (p *partition) submit(ctx context.Context, r *batchcall.SubmitRequest) (*batchcall.Reply, error) {
	if redirect := p.redirect(); redirect != nil {
		return &batchcall.Reply{Redirect: redirect}, nil
	}
	submission := &batch.Submit{Job: r.Job, MaxQueuedTokens: r.MaxQueuedTokens}
	if !p.confirmation.isFresh(p.readConfirmationAge) || p.fits(submission.Offer()) {
		return p.commitJob(ctx, submission)
	}
	return nil, errQueueFull // a refusal by the local state avoids sending the job's bodies along the chain
}

// commitJob commits a submission. An error of a kind other than NotReady becomes Unclear, because the job may have been appended to the
// log.
func (p *partition) commitJob(ctx context.Context, submission *batch.Submit) (*batchcall.Reply, error) {
	outcome, err := p.propose(ctx, &batch.Command{Submit: submission})
	switch {
	case fault.KindOf(err) == fault.NotReady:
		return p.redirectOrError(err)
	case err != nil:
		return nil, fault.Wrap(fault.Unclear, err)
	case outcome == batch.QuotaExceeded:
		return nil, errQueueFull
	case outcome != batch.Done:
		return nil, fault.New(fault.Internal, "the submission could not be decoded when it was applied")
	}
	return &batchcall.Reply{}, nil
}

// offer checks whether a job would be accepted now, and returns an error if not. It changes nothing.
func (p *partition) offer(ctx context.Context, r *batchcall.OfferRequest) (*batchcall.Reply, error) {
	if redirect := p.redirect(); redirect != nil {
		return &batchcall.Reply{Redirect: redirect}, nil
	}
	if err := p.confirmRead(ctx, p.readConfirmationAge); err != nil {
		return p.redirectOrError(err)
	}
	if !p.fits(r.Offer) {
		return nil, errQueueFull
	}
	return &batchcall.Reply{}, nil
}

// fits reports whether a job would be accepted according to the state that is applied here.
func (p *partition) fits(o batch.Offer) (fits bool) {
	p.state.read(func(m *batch.Machine) { fits = m.Fits(o) })
	return fits
}

// end ends a job: once the command is committed, none of the job's items may run any longer.
func (p *partition) end(ctx context.Context, r *batchcall.EndRequest) (*batchcall.Reply, error) {
	if redirect := p.redirect(); redirect != nil {
		return &batchcall.Reply{Redirect: redirect}, nil
	}
	_, err := p.propose(ctx, &batch.Command{End: &r.Key})
	switch {
	case fault.KindOf(err) == fault.NotReady:
		return p.redirectOrError(err)
	case err != nil:
		return nil, err
	}
	return &batchcall.Reply{}, nil
}
