package load

import (
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/admission"
)

// subset is the maximum number of backends of a service that a node uses.
const subset = 64

func subsetLoads(count int) []admission.BackendLoad {
	loads := make([]admission.BackendLoad, count)
	for i := range loads {
		loads[i] = admission.BackendLoad{Backend: uint32(i), InFlight: 3, Unanswered: 1, Pending: 1}
	}
	return loads
}

// BenchmarkExchange measures what the collector does for one report of a node with requests at six backends: it decodes the
// report, updates the totals and encodes the response.
func BenchmarkExchange(b *testing.B) {
	c := newCollector("a")
	for i := range 49 {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7661)
		c.handleReport(time.Now(), from, &report{service: "service", loads: subsetLoads(subset), complete: true})
	}
	from := netip.MustParseAddrPort("10.0.1.7:7661")
	sparse, err := encodeReport(&report{service: "service", loads: subsetLoads(6)})
	if err != nil {
		b.Fatal(err)
	}
	responseSize := 0
	for b.Loop() {
		r, err := decodeReport(sparse)
		if err != nil {
			b.Fatal(err)
		}
		body, err := encodeResponse(c.handleReport(time.Now(), from, r))
		if err != nil {
			b.Fatal(err)
		}
		responseSize = len(body)
	}
	b.ReportMetric(float64(len(sparse)), "asked-B")
	b.ReportMetric(float64(responseSize), "answered-B")
}
