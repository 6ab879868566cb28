package load

import (
	"reflect"
	"slices"
	"testing"

	"nickelline/internal/admission"
)

func TestMessagesRoundTrip(t *testing.T) {
	loads := []admission.BackendLoad{
		{Backend: 1 << 31, InFlight: 300, Unanswered: 7, Batch: 200, Pending: 7.25},
		{Backend: 2},
	}
	r := &report{service: "s", loads: loads, complete: true, oneWay: true}
	if body, err := encodeReport(r); err != nil {
		t.Error(err)
	} else if got, err := decodeReport(body); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("report: got %+v, %v; want %+v", got, err, r)
	}
	totals := &response{service: "s", loads: slices.Clone(loads), backendsHash: 77}
	for i := range totals.loads {
		totals.loads[i].Backend = 0 // a response does not contain the identifiers
	}
	if body, err := encodeResponse(totals); err != nil {
		t.Error(err)
	} else if got, err := decodeResponse(body); err != nil || !reflect.DeepEqual(got, totals) {
		t.Errorf("response: got %+v, %v; want %+v", got, err, totals)
	}
	s := &summary{service: "s", zone: "z", loads: loads, chunk: 3}
	if body, err := encodeSummary(s); err != nil {
		t.Error(err)
	} else if got, err := decodeSummary(body); err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("summary: got %+v, %v; want %+v", got, err, s)
	}
}

func TestLargeCountsSaturate(t *testing.T) {
	body, err := encodeReport(&report{loads: []admission.BackendLoad{
		{InFlight: 1 << 20, Unanswered: 1 << 20, Batch: 1 << 20}, {InFlight: -1, Unanswered: -1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	r, err := decodeReport(body)
	if err != nil {
		t.Fatal(err)
	}
	if l := r.loads[0]; l.InFlight != 65535 || l.Unanswered != 255 {
		t.Errorf("large counts: got %+v, want the largest that fit", l)
	}
	if l := r.loads[1]; l != (admission.BackendLoad{}) {
		t.Errorf("negative counts: got %+v, want 0", l)
	}
}

func FuzzMessages(f *testing.F) {
	body, err := encodeReport(reportOf(true, loadOf(1, 2, 3)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeReport(data)
		_, _ = decodeResponse(data)
		_, _ = decodeSummary(data)
	})
}
