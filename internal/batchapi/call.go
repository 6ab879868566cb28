package batchapi

import (
	"context"
	"net/netip"
	"time"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
	"nickelline/internal/pause"
	"nickelline/internal/peer"
	"nickelline/internal/view"
)

const (
	// maxCalls bounds the calls to stores for one call of a client.
	maxCalls = 4
	// writeTimeout bounds one call that changes something: a view may change meanwhile.
	writeTimeout = 2 * time.Second
	// offerTimeout bounds one call that asks whether a job would be taken, and offerPatience all such calls for one job: a
	// client that is told soon that the head is gone tries again in time.
	offerTimeout  = 300 * time.Millisecond
	offerPatience = 800 * time.Millisecond
	// readTimeout bounds one call that reads, beyond the time that its answer may be held.
	readTimeout = 700 * time.Millisecond
	// retryPause is the pause before a store is asked again that could not act.
	retryPause = 60 * time.Millisecond
)

// encoder writes a call for a partition.
type encodeFunc func(partition uint32) (peer.Message, error)

// write has the head of a tenant's partition change something.
func (c *Client) write(ctx context.Context, tenant string, encode encodeFunc) error {
	return c.callHead(ctx, tenant, writeTimeout, encode)
}

// callHead calls the head of a tenant's partition until it has acted. All calls may be sent twice: a job is taken once, and
// ended once.
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

// settle gives the error that promises no more than is known.
func resolveError(unclear, refusal error) error {
	if unclear != nil {
		return unclear
	}
	return refusal
}

// read calls replicas of a tenant's partition until one has answered for certain.
func (c *Client) read(ctx context.Context, tenant string, wait time.Duration, encode encodeFunc) (*batchcall.Reply, error) {
	deadline := time.Now().Add(wait)
	failure := fault.New(fault.NotReady, "no store keeps the jobs of %q now", tenant)
	tried := map[netip.AddrPort]bool{}
	for range maxCalls {
		located, ok := c.options.Locate(tenant)
		if !ok {
			break
		}
		from := c.selectReplica(located, tried)
		tried[from] = true
		timeout := max(time.Until(deadline), 0) + readTimeout
		reply, err := c.call(ctx, from, located.Chain, encode, timeout)
		switch {
		case err == nil && reply.Redirect == nil:
			return reply, nil
		case err == nil:
			c.heads.recordRedirect(located.Chain, reply.Redirect)
			continue
		case fault.KindOf(err) == fault.NotFound:
			return nil, err
		}
		c.heads.recordFailure(from)
		failure = fault.Wrap(fault.NotReady, err)
		if !pause.For(ctx, retryPause) {
			break
		}
	}
	return nil, failure
}

// reader picks the replica that a read goes to: one of the own zone if there is one, else the head, else any; last come those
// that have been tried, or did not answer lately.
func (c *Client) selectReplica(v view.View, tried map[netip.AddrPort]bool) netip.AddrPort {
	head := c.heads.head(v)
	best, bestRank := head, c.rank(head, head, "", tried)
	for _, member := range v.Members {
		if rank := c.rank(member.Address, head, member.Zone, tried); rank < bestRank {
			best, bestRank = member.Address, rank
		}
	}
	return best
}

func (c *Client) rank(address, head netip.AddrPort, zone string, tried map[netip.AddrPort]bool) int {
	const (
		triedPenalty  = 8
		failedPenalty = 4
		otherZone     = 2
		notHead       = 1
	)
	rank := 0
	if tried[address] {
		rank += triedPenalty
	}
	if c.heads.failedRecently(address) {
		rank += failedPenalty
	}
	if zone != c.options.Zone {
		rank += otherZone
	}
	if address != head {
		rank += notHead
	}
	return rank
}

// call sends one call to a store.
func (c *Client) call(ctx context.Context, to netip.AddrPort, partition uint32, encode encodeFunc, timeout time.Duration) (*batchcall.Reply, error) {
	if !to.IsValid() {
		return nil, fault.New(fault.NotReady, "partition %d has no head", partition)
	}
	message, err := encode(partition)
	if err != nil {
		return nil, fault.Wrap(fault.NotReady, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.options.Caller.Call(ctx, to, message)
	if err != nil {
		return nil, err
	}
	reply, err := batchcall.DecodeReply(answer.Body)
	if err != nil {
		return nil, fault.Wrap(fault.Unclear, err)
	}
	return reply, nil
}
