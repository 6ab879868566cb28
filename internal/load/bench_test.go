package load

import (
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/admission"
)

// subset is how many backends of a service a node uses at most.
const subset = 64

func subsetLoads(count int) []admission.BackendLoad {
	loads := make([]admission.BackendLoad, count)
	for i := range loads {
		loads[i] = admission.BackendLoad{Backend: uint32(i), InFlight: 3, Unanswered: 1, Pending: 1}
	}
	return loads
}

// BenchmarkExchange is what a report of a node with requests at six backends costs the collector, its answer with it.
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
	answered := 0
	for b.Loop() {
		r, err := decodeReport(sparse)
		if err != nil {
			b.Fatal(err)
		}
		body, err := encodeResponse(c.handleReport(time.Now(), from, r))
		if err != nil {
			b.Fatal(err)
		}
		answered = len(body)
	}
	b.ReportMetric(float64(len(sparse)), "asked-B")
	b.ReportMetric(float64(answered), "answered-B")
}
