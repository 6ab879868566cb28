package quota

import (
	"fmt"
	"testing"
	"time"
)

func TestCodec(t *testing.T) {
	renewal := &Renewal{Generation: 1 << 63, Sequence: 7, Epoch: 1 << 62, Complete: true, Entries: []Entry{
		{Tenant: "a", Held: Share{Rate: 1.5, Depth: 2.5}, Demand: 3.5, Need: 4, Returned: 0.5},
		{Tenant: "b"},
	}}
	data, err := encodeRenewal(renewal)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeRenewal(data)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(renewal) {
		t.Errorf("decoded renewal: got %v, want %v (error %v)", got, renewal, err)
	}
	answer := &renewalAnswer{
		grants:      []Grant{{Lease: Share{Rate: 1, Depth: 2}, Granted: 3, RetryAfter: 40 * time.Millisecond}},
		moved:       true,
		allocator:   proxyAddress,
		epoch:       5,
		mustReclaim: true,
	}
	if data, err = encodeAnswer(answer); err != nil {
		t.Fatal(err)
	}
	gotAnswer, err := decodeAnswer(data)
	if err != nil || fmt.Sprint(gotAnswer) != fmt.Sprint(answer) {
		t.Errorf("decoded answer: got %v, want %v (error %v)", gotAnswer, answer, err)
	}
	for cut := range data {
		_, _ = decodeAnswer(data[:cut]) // must not panic
		_, _ = decodeRenewal(data[:cut])
		_, _ = decodeAnnouncement(data[:cut])
	}
	if data, err = encodeAnnouncement(6); err != nil {
		t.Fatal(err)
	}
	if epoch, err := decodeAnnouncement(data); err != nil || epoch != 6 {
		t.Errorf("decoded announcement: got epoch %d and error %v, want 6", epoch, err)
	}
}
