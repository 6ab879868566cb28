package peer

import (
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/golden"
)

// The golden files record the protocol as it was when they were written. Processes of different releases must
// understand each other's frames, so a failure of this test means that the protocol has changed.

func TestGoldenFrames(t *testing.T) {
	body := []byte("body of a message")
	frames := []struct {
		name  string
		frame *frame
	}{
		{"hello", &frame{frameType: helloFrame, address: netip.MustParseAddrPort("10.20.30.40:5060"), generation: 0x0102030405060708}},
		{"request", &frame{frameType: requestFrame, kind: 0x301, callID: 11, remaining: 12 * time.Microsecond, body: body}},
		{"answer", &frame{frameType: responseFrame, kind: 0x302, callID: 13, body: body}},
		{"failure", &frame{frameType: failureFrame, kind: 0x303, callID: 14, errorKind: fault.Conflict, body: body}},
		{"one_way", &frame{frameType: oneWayFrame, kind: 0x304, body: body}},
		{"datagram", &frame{frameType: datagramFrame, kind: 0x305, body: body}},
		{"retire", &frame{frameType: retireFrame, kind: 0x306, body: body}},
	}
	for _, test := range frames {
		t.Run(test.name, func(t *testing.T) {
			golden.RoundTrip(t, "frame_"+test.name+".hex", test.frame, (*frame).encode, decodeFrame)
		})
	}
}
