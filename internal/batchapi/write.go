package batchapi

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/pause"
)

const (
	// writeTimeout bounds one call that changes something, since a view may change meanwhile.
	writeTimeout = 2 * time.Second
	// offerTimeout bounds one call that asks whether a job would be taken, and offerPatience all such calls for one job: a
	// client that learns soon that the head is gone tries again in time.
	offerTimeout  = 300 * time.Millisecond
	offerPatience = 800 * time.Millisecond
)

// callHead calls the head of a tenant's partition until it has acted. All calls are idempotent: a job is taken once, and ended
// once, however often it is asked for.
func (c *Client) callHead(ctx context.Context, tenant string, timeout time.Duration, encode encodeFunc) error {
	var unclear error
	refusal := fault.New(fault.NotReady, "no store keeps the jobs of %q now", tenant)
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

// resolveError returns the error that promises no more than is known: unclear, if any call was.
func resolveError(unclear, refusal error) error {
	if unclear != nil {
		return unclear
	}
	return refusal
}
