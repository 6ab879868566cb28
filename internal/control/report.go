package control

import (
	"context"
	"net/netip"

	"nickelline/internal/peer"
)

// Kinds of messages of this package.
const (
	reportKind = peer.ControlKinds + iota
)

// Report is how far the replicas of a store have progressed.
type Report struct {
	Store  Store
	Chains []ChainStatus
	// Impaired is set if the store's disk does not work: it can be in no view for now.
	Impaired bool
}

// ChainStatus is how far a store's replica of one partition has progressed. Its chain is placement.ChainOf(partition).
type ChainStatus struct {
	Chain uint32
	// Epoch is that of the latest view of the partition that the replica has installed, 0 for a learner without one.
	Epoch uint64
	// Complete is set if the replica has everything that was ever committed (chain.Status.Complete).
	Complete bool
	// CaughtUp is set if a learner has everything that its source knew to be committed (chain.Status.CaughtUp).
	CaughtUp bool
	// Running is how many batch items run, if the replica is the head.
	Running uint32
}

// ReportReplicas sends a report to a control node, which forwards it to the head of the control chain. The error is
// fault.NotReady if neither that node nor the next one is the head.
func ReportReplicas(ctx context.Context, transport *peer.Transport, to netip.AddrPort, report Report) error {
	return sendReport(ctx, transport, to, report, false)
}

func sendReport(ctx context.Context, transport *peer.Transport, to netip.AddrPort, report Report, forwarded bool) error {
	body, err := encodeReport(report, forwarded)
	if err != nil {
		return err
	}
	_, err = transport.Call(ctx, to, peer.Message{Kind: reportKind, Body: body})
	return err
}
