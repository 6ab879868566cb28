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
	// maxCalls limits the calls to stores for one request of a client.
	maxCalls = 4
	// retryPause is the pause before the next call after a store failed or could not act.
	retryPause = 60 * time.Millisecond
)

// encodeFunc encodes a call for a partition.
type encodeFunc func(partition uint32) (peer.Message, error)

// call sends one call to a store. An error of the Caller keeps its kind. Other errors are NotReady if nothing was sent, and
// Unclear if the reply cannot be decoded.
func (c *Client) call(
	ctx context.Context, to netip.AddrPort, partition uint32, encode encodeFunc, timeout time.Duration,
) (*batchcall.Reply, error) {
	if !to.IsValid() {
		return nil, fault.New(fault.NotReady, "head of partition %d is unknown", partition)
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
