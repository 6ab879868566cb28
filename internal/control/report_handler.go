package control

import (
	"context"
	"net/netip"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// reportHandler receives the reports of stores. The head of the control chain keeps them, other nodes forward them to it.
type reportHandler struct {
	reports   *reportStore
	transport *peer.Transport
	// head returns the address of the head of the control chain, and whether that is this node.
	head func() (address netip.AddrPort, own bool)
	// changed is called after a report that differs from the one before.
	changed func()
}

func (h *reportHandler) handle(ctx context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	report, forwarded, err := decodeReport(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.BadRequest, err)
	}
	address, own := h.head()
	switch {
	case own:
		if h.reports.put(report, time.Now()) {
			h.changed()
		}
		return peer.Message{Kind: reportKind}, nil
	case forwarded || !address.IsValid():
		return peer.Message{}, fault.New(fault.NotReady, "this node is not the head of the control chain")
	}
	return peer.Message{Kind: reportKind}, sendReport(ctx, h.transport, address, report, true)
}
