package load

import (
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/admission"
)

var (
	start  = time.Now()
	nodeA  = netip.MustParseAddrPort("10.0.0.1:7660")
	nodeB  = netip.MustParseAddrPort("10.0.0.2:7660")
	remote = netip.MustParseAddrPort("10.0.1.1:7660")
)

func at(d time.Duration) time.Time { return start.Add(d) }

func reportOf(complete bool, loads ...admission.BackendLoad) *report {
	return &report{service: "s", loads: loads, complete: complete}
}

func loadOf(backend uint32, inFlight, unanswered int) admission.BackendLoad {
	return admission.BackendLoad{Backend: backend, InFlight: inFlight, Unanswered: unanswered}
}

// loadFor returns the load of a backend in a response.
func loadFor(totals *response, backend uint32) admission.BackendLoad {
	for _, l := range totals.loads {
		if l.Backend == backend {
			return l
		}
	}
	return admission.BackendLoad{}
}

func TestSumsOfAllNodes(t *testing.T) {
	c := newCollector("a")
	c.handleReport(at(0), nodeA, reportOf(true, loadOf(1, 3, 1), loadOf(2, 0, 0)))
	totals := c.handleReport(at(time.Millisecond), nodeB, reportOf(true, loadOf(1, 2, 2), loadOf(2, 5, 0)))
	if l := loadFor(totals, 1); l.InFlight != 5 || l.Unanswered != 3 {
		t.Errorf("first backend: got %+v, want 5 in flight, 3 unanswered", l)
	}
	if l := loadFor(totals, 2); l.InFlight != 5 || l.Unanswered != 0 {
		t.Errorf("second backend: got %+v, want 5 in flight, 0 unanswered", l)
	}
	totals = c.handleReport(at(2*time.Millisecond), nodeB, reportOf(false, loadOf(1, 1, 0)))
	if l := loadFor(totals, 1); l.InFlight != 4 || l.Unanswered != 1 {
		t.Errorf("after a newer report: got %+v, want 4 in flight, 1 unanswered", l)
	}
	if l := loadFor(totals, 2); l.InFlight != 0 {
		t.Errorf("backend that the report left out: got %+v, want 0 in flight", l)
	}
}

func TestCompleteReportIsRequested(t *testing.T) {
	c := newCollector("a")
	if totals := c.handleReport(at(0), nodeA, reportOf(false, loadOf(1, 1, 0))); totals.backendsHash != 0 || len(totals.loads) > 0 {
		t.Errorf("response to a node with unknown backends: got %+v, want hash 0 and no loads", totals)
	}
	if totals := c.handleReport(at(0), nodeA, reportOf(true, loadOf(1, 1, 0))); totals.backendsHash == 0 || loadFor(totals, 1).InFlight != 1 {
		t.Errorf("response to a complete report: got %+v, want a hash and 1 in flight", totals)
	}
	if totals := c.handleReport(at(0), nodeA, reportOf(false)); totals.backendsHash == 0 {
		t.Error("response after a complete report: got hash 0, want the hash of its backends")
	}
}

func TestUnresponsiveNodesExpire(t *testing.T) {
	c := newCollector("a")
	c.handleReport(at(0), nodeA, reportOf(true, loadOf(1, 7, 0)))
	c.handleSummary(at(0), remote, &summary{service: "s", zone: "b", loads: []admission.BackendLoad{loadOf(1, 2, 0)}})
	for now := time.Duration(0); now <= expiry; now += Interval {
		if l := loadFor(c.handleReport(at(now), nodeB, reportOf(true, loadOf(1, 1, 0))), 1); l.InFlight != 10 {
			t.Errorf("after %v: got %+v, want 10 in flight", now, l)
		}
	}
	totals := c.handleReport(at(expiry+2*Interval), nodeB, reportOf(true, loadOf(1, 1, 0)))
	if l := loadFor(totals, 1); l.InFlight != 1 {
		t.Errorf("after expiry: got %+v, want 1 in flight", l)
	}
}

func TestSummariesOfOtherZones(t *testing.T) {
	c := newCollector("a")
	c.handleReport(at(0), nodeA, reportOf(true, loadOf(1, 3, 0)))
	c.handleSummary(at(0), remote, &summary{service: "s", zone: "b", loads: []admission.BackendLoad{loadOf(1, 9, 4)}})
	c.handleSummary(at(0), remote, &summary{service: "s", zone: "b", loads: []admission.BackendLoad{loadOf(1, 4, 2)}})
	c.handleSummary(at(0), remote, &summary{service: "s", zone: "a", loads: []admission.BackendLoad{loadOf(1, 50, 0)}})
	if l := loadFor(c.handleReport(at(0), nodeA, reportOf(true, loadOf(1, 3, 0))), 1); l.InFlight != 7 || l.Unanswered != 2 {
		t.Errorf("with another zone: got %+v, want 7 in flight, 2 unanswered", l)
	}
	sent := c.dueSummaries(at(0), "s")
	if len(sent) != 1 || len(sent[0].loads) != 1 || sent[0].loads[0].InFlight != 3 {
		t.Fatalf("summary of the local zone: got %+v, want 3 in flight at one backend", sent)
	}
	if again := c.dueSummaries(at(Interval-1), "s"); again != nil {
		t.Errorf("second summary within an Interval: got %+v, want none", again)
	}
}

func TestLongSummariesComeInChunks(t *testing.T) {
	c := newCollector("a")
	var loads []admission.BackendLoad
	for i := range uint32(3*summaryChunkSize - 1) {
		loads = append(loads, loadOf(i, 1, 0))
	}
	c.handleReport(at(0), nodeA, reportOf(true, loads...))
	other, sum := newCollector("b"), 0
	for _, s := range c.dueSummaries(at(0), "s") {
		body, err := encodeSummary(s)
		if err != nil || len(body) > 1300 {
			t.Fatalf("chunk: got %d bytes, error %v; want 1300 bytes at most", len(body), err)
		}
		decoded, err := decodeSummary(body)
		if err != nil {
			t.Fatal(err)
		}
		other.handleSummary(at(0), nodeA, decoded)
	}
	for _, l := range other.handleReport(at(0), remote, reportOf(true, loads...)).loads {
		sum += l.InFlight
	}
	if sum != 2*len(loads) {
		t.Errorf("sum of requests: got %d, want %d", sum, 2*len(loads))
	}
}
