package control

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"nickelline/internal/chain"
	"nickelline/internal/peer"
)

// Kinds of the peer messages of this package.
const (
	reportKind = peer.ControlKinds + iota
)

// Report describes the progress of a store's replicas of partitions.
type Report struct {
	Store  Store
	Chains []ChainStatus
	// Impaired is set while the store's disk does not work, so that the store can be in no view.
	Impaired bool
	// DiskTrouble describes what the store's disk does not do at present, nil if it works.
	DiskTrouble *DiskTrouble
}

// DiskTrouble describes what a disk does not do at present.
type DiskTrouble struct {
	For      time.Duration // how long it has lasted; sent in milliseconds
	Failures uint64        // of the disk since the process was started
	Error    string        // of the last failure
}

// diskErrorLimit bounds the text of DiskTrouble.Error, in bytes.
const diskErrorLimit = 300

// NewDiskTrouble describes the trouble of a status, nil if there is none.
func NewDiskTrouble(status chain.DiskStatus, now time.Time) *DiskTrouble {
	if status.FailingSince.IsZero() {
		return nil
	}
	text := status.Err.Error()
	return &DiskTrouble{
		For:      now.Sub(status.FailingSince).Truncate(time.Millisecond),
		Failures: status.Failures,
		Error:    strings.ToValidUTF8(text[:min(len(text), diskErrorLimit)], ""),
	}
}

// ChainStatus describes the progress of a store's replica of one partition. Chain is placement.ChainOf(partition).
type ChainStatus struct {
	Chain uint32
	// Epoch is the epoch of the latest view of the partition that the replica has installed, 0 for a learner without a view.
	Epoch uint64
	// Complete is set if the replica has every entry that was ever committed (chain.Status.Complete).
	Complete bool
	// CaughtUp is set if a learner has every entry that its source knew to be committed (chain.Status.CaughtUp).
	CaughtUp bool
	// Running is the number of running batch items, if the replica is the head.
	Running uint32
}

// ReportReplicas sends a report to a control node, which forwards it to the head of the control chain. The error is of kind
// fault.NotReady if neither the node nor the one to which it forwards the report is the head.
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
