package discovery

import (
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/golden"
)

// The golden file pins the wire format. Processes of different releases must understand each other's messages, so a
// failure of this test means that the wire format has changed.

func TestGoldenList(t *testing.T) {
	list := NewList([]Backend{
		{
			ID: "i-0001", Service: "search", Address: netip.MustParseAddrPort("10.20.30.40:5060"), Zone: "north",
			Version: "v7", Slots: 11, Draining: true, ColdRemaining: 12 * time.Millisecond,
		},
		{
			ID: "i-0002", Service: "images", Address: netip.MustParseAddrPort("10.21.31.41:5161"), Zone: "south",
			Version: "v8", Slots: 13, Draining: false, ColdRemaining: 14 * time.Millisecond,
		},
	})
	list.pages = 15
	golden.RoundTrip(t, "list.hex", list, Encode, Decode)
	encoded, err := Encode(list)
	if err != nil {
		t.Fatalf("Encode: %v", err)
	}
	if got := pageCount(golden.Bytes(t, "list.hex", encoded)); got != 15 {
		t.Errorf("pageCount: got %d, want 15", got)
	}
}
