package peer

import (
	"bytes"
	"net/netip"
	"testing"
)

// FuzzReadFrame checks that reading and decoding any bytes returns a frame or an error and does not panic.
func FuzzReadFrame(f *testing.F) {
	for _, sample := range []*frame{
		{frameType: helloFrame, address: netip.MustParseAddrPort("10.1.2.3:7660"), generation: 9},
		{frameType: requestFrame, kind: 3, callID: 7, body: []byte("abc")},
		{frameType: failureFrame, callID: 7, body: []byte("text")},
	} {
		data, err := sample.encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if read, err := readFrame(bytes.NewReader(data)); err == nil && read == nil {
			t.Error("got neither a frame nor an error")
		}
		if read, err := decodeFrame(data); err == nil && read == nil {
			t.Error("got neither a frame nor an error")
		}
	})
}
