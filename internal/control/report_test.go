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
			t.Errorf("got %+v, forwarded %v, %v; want %+v, %v", report, again, err, exampleReport, forwarded)
		}
	}
	if _, _, err := decodeReport([]byte{1, 2}); err == nil {
		t.Error("decode a malformed report: got no error")
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
		t.Fatalf("decode an impaired report: got %+v, error %v, want Impaired set", decoded, err)
	}
	if !r.put(decoded, begin) || r.put(decoded, begin) {
		t.Error("put two equal reports of an impaired store: got other than true, then false")
	}
	if _, recent := r.recent(7, begin); recent {
		t.Error("impaired store: got a recent report")
	}
	if !r.put(exampleReport, begin) {
		t.Error("put a report of a recovered store: got false, want true")
	}
	if _, recent := r.recent(7, begin); !recent {
		t.Error("recovered store: got no recent report")
	}
}

func TestReportsExpire(t *testing.T) {
	r := newReportStore()
	begin := time.Now()
	if !r.put(exampleReport, begin) || r.put(exampleReport, begin) {
		t.Error("put two equal reports: got other than true, then false")
	}
	later := Report{Store: Store{"s-2", 8}, Chains: []ChainStatus{{Chain: 5, Epoch: 1}}}
	r.put(later, begin.Add(2*time.Second))
	if chains, recent := r.recent(7, begin); !recent || !reflect.DeepEqual(chains, exampleReport.Chains) {
		t.Errorf("got %+v, recent %v; want %+v, true", chains, recent, exampleReport.Chains)
	}
	if _, recent := r.recent(7, begin.Add(time.Second)); recent {
		t.Error("expired report: got it recent")
	}
	if _, recent := r.recent(9, begin); recent {
		t.Error("unknown replica: got a recent report")
	}
	r.expire(begin.Add(time.Second))
	if _, recent := r.recent(7, begin); recent || len(r.byReplica) != 1 {
		t.Error("expire: got the old report kept, or the other one dropped")
	}
}

// reportNode starts a control node that only handles reports.
func reportNode(t *testing.T, head func() (netip.AddrPort, bool)) (*reportStore, *peer.Transport) {
	t.Helper()
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	reports := newReportStore()
	h := &reportHandler{reports: reports, transport: transport, head: head, onChange: func() {}}
	transport.Handle(reportKind, h.handle)
	transport.Start()
	t.Cleanup(transport.Close)
	return reports, transport
}

func TestReportsAreForwardedToTheHead(t *testing.T) {
	headReports, head := reportNode(t, func() (netip.AddrPort, bool) { return netip.AddrPort{}, true })
	otherReports, other := reportNode(t, func() (netip.AddrPort, bool) { return head.Address(), false })
	_, misdirected := reportNode(t, func() (netip.AddrPort, bool) { return other.Address(), false })
	if err := ReportReplicas(t.Context(), misdirected, other.Address(), exampleReport); err != nil {
		t.Fatal(err)
	}
	if len(headReports.byReplica) != 1 || len(otherReports.byReplica) != 0 {
		t.Errorf("got %d reports at the head and %d elsewhere, want 1 and 0", len(headReports.byReplica), len(otherReports.byReplica))
	}
	// The misdirected node forwards to a node that is not the head, which does not forward the report again.
	err := ReportReplicas(t.Context(), head, misdirected.Address(), exampleReport)
	checkKind(t, err, fault.NotReady)
}
