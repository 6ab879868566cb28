package control

import (
	"context"
	"net/netip"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// reportHandler receives the reports of stores. The head of the control chain stores them, other nodes forward them to it.
type reportHandler struct {
	reports   *reportStore
	transport *peer.Transport
	// head returns the address of the head of the control chain, and whether that is this node.
	head func() (address netip.AddrPort, isSelf bool)
	// onChange is called after a report that differs from the previous one of its store.
	onChange func()
}

func (h *reportHandler) handle(ctx context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	report, forwarded, err := decodeReport(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.BadRequest, err)
	}
	address, isSelf := h.head()
	switch {
	case isSelf:
		if h.reports.put(report, time.Now()) {
			h.onChange()
		}
		return peer.Message{Kind: reportKind}, nil
	case forwarded || !address.IsValid():
		return peer.Message{}, fault.New(fault.NotReady, "this node is not the head of the control chain")
	}
	return peer.Message{Kind: reportKind}, sendReport(ctx, h.transport, address, report, true)
}
