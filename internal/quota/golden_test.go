package quota

import (
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/golden"
)

// The golden files record the encoded messages of the protocol. Processes of different releases must understand each
// other's messages, so a failure of these tests means that the protocol has changed.

func TestGoldenRenewal(t *testing.T) {
	want := &Renewal{
		Generation: 0x0102030405060708,
		Sequence:   11,
		Epoch:      12,
		Complete:   true,
		Leaving:    true,
		Entries: []Entry{
			{Tenant: "alpha", Held: Share{Rate: 1.5, Depth: 2.5}, Demand: 3.5, Need: 4, Returned: 5.5},
			{Tenant: "beta", Held: Share{Rate: 6.5, Depth: 7.5}, Demand: 8.5, Need: 9, Returned: 10.5},
		},
	}
	golden.RoundTrip(t, "renewal.hex", want, encodeRenewal, decodeRenewal)
}

func TestGoldenRenewalFlags(t *testing.T) {
	golden.RoundTrip(t, "renewal_complete.hex", &Renewal{Complete: true, Entries: []Entry{}}, encodeRenewal, decodeRenewal)
	golden.RoundTrip(t, "renewal_leaving.hex", &Renewal{Leaving: true, Entries: []Entry{}}, encodeRenewal, decodeRenewal)
}

func TestGoldenAnswer(t *testing.T) {
	want := &renewalAnswer{
		moved:       true,
		allocator:   netip.MustParseAddrPort("10.20.30.40:5060"),
		epoch:       13,
		mustReclaim: true,
		grants: []Grant{
			{Lease: Share{Rate: 1.25, Depth: 2.25}, Granted: 3, RetryAfter: 4 * time.Millisecond},
			{Lease: Share{Rate: 5.25, Depth: 6.25}, Granted: 7, RetryAfter: 8 * time.Millisecond},
		},
	}
	golden.RoundTrip(t, "answer.hex", want, encodeAnswer, decodeAnswer)
}

func TestGoldenAnswerFlags(t *testing.T) {
	golden.RoundTrip(t, "answer_moved.hex", &renewalAnswer{moved: true, grants: []Grant{}}, encodeAnswer, decodeAnswer)
	golden.RoundTrip(t, "answer_unheard.hex", &renewalAnswer{mustReclaim: true, grants: []Grant{}}, encodeAnswer, decodeAnswer)
}

func TestGoldenAnnouncement(t *testing.T) {
	golden.RoundTrip(t, "announcement.hex", uint64(0x0a0b0c0d0e0f1011), encodeAnnouncement, decodeAnnouncement)
}
