package batchapi

import (
	"context"
	"net/netip"
	"time"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
	"nickelline/internal/pause"
	"nickelline/internal/view"
)

// readTimeout limits one call that reads, in addition to the time that the store may wait for a result.
const readTimeout = 700 * time.Millisecond

// read calls replicas of a tenant's partition until one of them returns a reply or NotFound, maxCalls times at most.
func (c *Client) read(ctx context.Context, tenant string, wait time.Duration, encode encodeFunc) (*batchcall.Reply, error) {
	deadline := time.Now().Add(wait)
	failure := fault.New(fault.NotReady, "no store serves the jobs of tenant %q", tenant)
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

// selectReplica returns the replica that a read goes to: one of the proxy's zone if there is one, else the head, else any.
// Replicas that have been tried or failed recently come last.
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

// rank returns the rank of a replica for a read. The replica with the lowest rank is selected.
func (c *Client) rank(address, head netip.AddrPort, zone string, tried map[netip.AddrPort]bool) int {
	const (
		triedPenalty     = 8
		failedPenalty    = 4
		otherZonePenalty = 2
		notHeadPenalty   = 1
	)
	rank := 0
	if tried[address] {
		rank += triedPenalty
	}
	if c.heads.failedRecently(address) {
		rank += failedPenalty
	}
	if zone != c.options.Zone {
		rank += otherZonePenalty
	}
	if address != head {
		rank += notHeadPenalty
	}
	return rank
}
