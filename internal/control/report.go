package control

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/control/controlwire"
	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// Kinds of messages of this package.
const (
	reportKind = peer.ControlKinds + iota
)

// Report tells how far the replicas of a store are.
type Report struct {
	Store  Store
	Chains []ChainStatus
	// Impaired tells that the store's disk does not work: it can be in no view for now.
	Impaired bool
}

// ChainStatus tells how far a store's replica of one partition is. Its chain is placement.ChainOf(partition).
type ChainStatus struct {
	Chain uint32
	// Epoch is that of the newest view of the partition that the replica has installed, 0 for a learner without one.
	Epoch uint64
	// Complete tells that the replica has all that was ever committed (chain.Status.Complete).
	Complete bool
	// CaughtUp tells that a learner has all that its feeder knew to be committed (chain.Status.CaughtUp).
	CaughtUp bool
	// Running is how many items run, if the replica is the head.
	Running uint32
}

// ReportReplicas sends a report to a control node, which passes it on to the head of the control chain.
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

func encodeReport(report Report, forwarded bool) ([]byte, error) {
	return capnpcodec.Marshal(0, controlwire.NewRootReport, func(root controlwire.Report) error {
		root.SetForwarded(forwarded)
		root.SetImpaired(report.Impaired)
		store, err := root.NewStore()
		if err != nil {
			return err
		}
		if err := fillStore(store, report.Store); err != nil {
			return err
		}
		return fillChains(root, report.Chains)
	})
}

func fillChains(root controlwire.Report, chains []ChainStatus) error {
	list, err := root.NewChains(int32(len(chains)))
	if err != nil {
		return err
	}
	for i, status := range chains {
		element := list.At(i)
		element.SetChain(status.Chain)
		element.SetEpoch(status.Epoch)
		element.SetComplete(status.Complete)
		element.SetCaughtUp(status.CaughtUp)
		element.SetRunning(status.Running)
	}
	return nil
}

func decodeReport(encoded []byte) (report Report, forwarded bool, err error) {
	root, err := capnpcodec.Unmarshal(encoded, controlwire.ReadRootReport)
	if err != nil {
		return Report{}, false, err
	}
	store, err := root.Store()
	if err != nil {
		return Report{}, false, err
	}
	if report.Store, err = readStore(store); err != nil {
		return Report{}, false, err
	}
	report.Impaired = root.Impaired()
	list, err := root.Chains()
	if err != nil {
		return Report{}, false, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return Report{}, false, err
	}
	for i := range list.Len() {
		element := list.At(i)
		report.Chains = append(report.Chains, ChainStatus{
			Chain:    element.Chain(),
			Epoch:    element.Epoch(),
			Complete: element.Complete(),
			CaughtUp: element.CaughtUp(),
			Running:  element.Running(),
		})
	}
	return report, root.Forwarded(), nil
}

// reports keeps the newest report of each store.
type reportStore struct {
	mutex     sync.Mutex
	byReplica map[uint64]receivedReport
}

type receivedReport struct {
	chains   []ChainStatus
	impaired bool
	at       time.Time
}

func newReportStore() *reportStore { return &reportStore{byReplica: map[uint64]receivedReport{}} }

// put keeps a report, and tells whether it says anything new.
func (r *reportStore) put(report Report, at time.Time) bool {
	slices.SortFunc(report.Chains, func(a, b ChainStatus) int { return cmp.Compare(a.Chain, b.Chain) })
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last, known := r.byReplica[report.Store.Replica]
	r.byReplica[report.Store.Replica] = receivedReport{chains: report.Chains, impaired: report.Impaired, at: at}
	return !known || last.impaired != report.Impaired || !slices.Equal(last.chains, report.Chains)
}

// recent gives what a replica reported, and whether it did since a time and is in order.
func (r *reportStore) recent(replica uint64, since time.Time) ([]ChainStatus, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	received, known := r.byReplica[replica]
	return received.chains, known && !received.impaired && !received.at.Before(since)
}

// forget drops the reports that came before a time.
func (r *reportStore) forget(before time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.byReplica, func(_ uint64, received receivedReport) bool { return received.at.Before(before) })
}

// headReports accepts the reports that stores send: at the head of the chain they are kept, elsewhere passed on to it.
type reportHandler struct {
	reports   *reportStore
	transport *peer.Transport
	// head gives the address of the head of the control chain, and whether that is this node.
	head func() (address netip.AddrPort, own bool)
	// changed is called after a report that says anything new.
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
