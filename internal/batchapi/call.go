package batchapi

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

const (
	// maxCalls bounds the calls to stores for one call of a client.
	maxCalls = 4
	// retryPause is the pause before a store that could not act is asked again.
	retryPause = 60 * time.Millisecond
)

// encodeFunc encodes a call for a partition.
type encodeFunc func(partition uint32) (peer.Message, error)

// call sends one call to a store. Errors keep the kind of what failed.
func (c *Client) call(
	ctx context.Context, to netip.AddrPort, partition uint32, encode encodeFunc, timeout time.Duration,
) (*batchcall.Reply, error) {
	if !to.IsValid() {
		return nil, fault.New(fault.NotReady, "partition %d has no head", partition)
	}
	message, err := encode(partition)
	if err != nil {
		return nil, fault.Wrap(fault.NotReady, fmt.Errorf("encode call for partition %d: %w", partition, err))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.options.Caller.Call(ctx, to, message)
	if err != nil {
		return nil, fmt.Errorf("call store %v for partition %d: %w", to, partition, err)
	}
	reply, err := batchcall.DecodeReply(answer.Body)
	if err != nil {
		return nil, fault.Wrap(fault.Unclear, fmt.Errorf("decode reply of store %v: %w", to, err))
	}
	return reply, nil
}
