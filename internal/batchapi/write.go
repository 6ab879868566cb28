package batchapi

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/pause"
)

const (
	// writeTimeout limits one call that changes state, because the view may change during the call.
	writeTimeout = 2 * time.Second
	// offerTimeout limits one call that asks whether a job would be accepted, and totalOfferTimeout all such calls for one job.
	// They are short, so that a client learns early that the head is gone and can retry in time.
	offerTimeout      = 300 * time.Millisecond
	totalOfferTimeout = 800 * time.Millisecond
)

// callHead calls the head of a tenant's partition until the head has carried out the request or rejected it, maxCalls times at
// most. All requests are idempotent: a job is accepted once and ended once, however often that is requested.
func (c *Client) callHead(ctx context.Context, tenant string, timeout time.Duration, encode encodeFunc) error {
	var unclear error
	refusal := fault.New(fault.NotReady, "no store serves the jobs of tenant %q", tenant)
	for range maxCalls {
		located, ok := c.options.Locate(tenant)
		if !ok {
			break
		}
		head := c.heads.head(located)
		reply, err := c.call(ctx, head, located.Chain, encode, timeout)
		switch {
		case err == nil && reply.Redirect == nil:
			return nil
		case err == nil:
			c.heads.recordRedirect(located.Chain, reply.Redirect)
			if c.heads.head(located) != head {
				continue
			}
		case fault.KindOf(err) == fault.QuotaExceeded, fault.KindOf(err) == fault.BadRequest:
			return resolveError(unclear, err)
		case fault.KindOf(err) == fault.NotReady:
			refusal = err
		default:
			unclear = fault.Wrap(fault.Unclear, err)
		}
		if !pause.For(ctx, retryPause) {
			break
		}
	}
	return resolveError(unclear, refusal)
}

// resolveError returns the unclear error of an earlier call if there is one, else the refusal: after an unclear call, a refusal
// does not prove that nothing was executed.
func resolveError(unclear, refusal error) error {
	if unclear != nil {
		return unclear
	}
	return refusal
}
