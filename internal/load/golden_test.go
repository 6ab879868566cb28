package load

import (
	"testing"

	"nickelline/internal/admission"
	"nickelline/internal/golden"
)

// The golden files record the encoding of each message. Processes of different releases have to understand each other's
// messages, so a failure of one of these tests means that the protocol has changed.

var goldenLoads = []admission.BackendLoad{
	{Backend: 0x80000001, InFlight: 301, Batch: 202, Unanswered: 73, Pending: 7.25},
	{Backend: 0x00020003, InFlight: 14, Batch: 5, Unanswered: 6, Pending: 1.5},
}

func TestGoldenReport(t *testing.T) {
	message := &report{service: "search", loads: goldenLoads, complete: true, oneWay: true}
	golden.RoundTrip(t, "report.hex", message, encodeReport, decodeReport)
}

func TestGoldenReportFlags(t *testing.T) {
	complete := &report{service: "search", loads: goldenLoads, complete: true}
	golden.RoundTrip(t, "report_complete.hex", complete, encodeReport, decodeReport)
	oneWay := &report{service: "search", loads: goldenLoads, oneWay: true}
	golden.RoundTrip(t, "report_one_way.hex", oneWay, encodeReport, decodeReport)
}

func TestGoldenResponse(t *testing.T) {
	message := &response{service: "search", backendsHash: 0x0a0b0c0d, loads: withoutBackends(goldenLoads)}
	golden.RoundTrip(t, "answer.hex", message, encodeResponse, decodeResponse)
}

func TestGoldenSummary(t *testing.T) {
	message := &summary{service: "search", zone: "north", loads: goldenLoads, chunk: 9}
	golden.RoundTrip(t, "summary.hex", message, encodeSummary, decodeSummary)
}

// Responses contain the hash of a list of backends in place of the list, so all releases have to compute the same hash.
func TestGoldenBackendsHash(t *testing.T) {
	const want = 0xefa3aeee
	if got := hashBackends([]uint32{0x80000001, 0x00020003, 7}); got != want {
		t.Errorf("hashBackends: got %#x, want %#x", got, want)
	}
}

// withoutBackends returns the loads without the identifiers of the backends, as a response contains them.
func withoutBackends(loads []admission.BackendLoad) []admission.BackendLoad {
	var unnamed []admission.BackendLoad
	for _, load := range loads {
		load.Backend = 0
		unnamed = append(unnamed, load)
	}
	return unnamed
}
