package control

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

var exampleReport = Report{
	Store: Store{"s-1", 7},
	Chains: []ChainStatus{
		{Chain: 1, Epoch: 3, Complete: true}, {Chain: 5, CaughtUp: true},
	},
}

func TestReportCodec(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		encoded, err := encodeReport(exampleReport, forwarded)
		if err != nil {
			t.Fatal(err)
		}
		report, again, err := decodeReport(encoded)
		if err != nil || again != forwarded || !reflect.DeepEqual(report, exampleReport) {
			t.Errorf("%+v, %v, %v", report, again, err)
		}
	}
	if _, _, err := decodeReport([]byte{1, 2}); err == nil {
		t.Error("a report that cannot be read is taken")
	}
}

func TestImpairedStoreIsNotRecent(t *testing.T) {
	r := newReportStore()
	begin := time.Now()
	r.put(exampleReport, begin)
	impaired := Report{Store: exampleReport.Store, Impaired: true}
	encoded, err := encodeReport(impaired, false)
	if err != nil {
		t.Fatal(err)
	}
	decoded, _, err := decodeReport(encoded)
	if err != nil || !decoded.Impaired {
		t.Fatalf("%+v, %v", decoded, err)
	}
	if !r.put(decoded, begin) || r.put(decoded, begin) {
		t.Error("only the first of two equal reports of a disk that does not work is news")
	}
	if _, recent := r.recent(7, begin); recent {
		t.Error("a store whose disk does not work counts as reachable")
	}
	if !r.put(exampleReport, begin) {
		t.Error("a disk that works again is no news")
	}
	if _, recent := r.recent(7, begin); !recent {
		t.Error("a store whose disk works again does not count as reachable")
	}
}

func TestReportsGrowOld(t *testing.T) {
	r := newReportStore()
	begin := time.Now()
	if !r.put(exampleReport, begin) || r.put(exampleReport, begin) {
		t.Error("only the first of two equal reports is news")
	}
	later := Report{Store: Store{"s-2", 8}, Chains: []ChainStatus{{Chain: 5, Epoch: 1}}}
	r.put(later, begin.Add(2*time.Second))
	if chains, recent := r.recent(7, begin); !recent || !reflect.DeepEqual(chains, exampleReport.Chains) {
		t.Errorf("got %+v, %v", chains, recent)
	}
	if _, recent := r.recent(7, begin.Add(time.Second)); recent {
		t.Error("an old report is recent")
	}
	if _, recent := r.recent(9, begin); recent {
		t.Error("a report that never came is recent")
	}
	r.expire(begin.Add(time.Second))
	if _, recent := r.recent(7, begin); recent || len(r.byReplica) != 1 {
		t.Error("an old report is not forgotten")
	}
}

// reportNode is a control node that only accepts reports.
func reportNode(t *testing.T, head func() (netip.AddrPort, bool)) (*reportStore, *peer.Transport) {
	t.Helper()
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	kept := newReportStore()
	h := &reportHandler{reports: kept, transport: transport, head: head, changed: func() {}}
	transport.Handle(reportKind, h.handle)
	transport.Start()
	t.Cleanup(transport.Close)
	return kept, transport
}

func TestReportsReachTheHead(t *testing.T) {
	kept, head := reportNode(t, func() (netip.AddrPort, bool) { return netip.AddrPort{}, true })
	passed, other := reportNode(t, func() (netip.AddrPort, bool) { return head.Address(), false })
	_, lost := reportNode(t, func() (netip.AddrPort, bool) { return other.Address(), false })
	if err := ReportReplicas(t.Context(), lost, other.Address(), exampleReport); err != nil {
		t.Fatal(err)
	}
	if len(kept.byReplica) != 1 || len(passed.byReplica) != 0 {
		t.Errorf("%d and %d reports are kept", len(kept.byReplica), len(passed.byReplica))
	}
	// A node that does not know the head does not send a report in a circle.
	err := ReportReplicas(t.Context(), head, lost.Address(), exampleReport)
	wantKind(t, err, fault.NotReady)
}
