package capnpcodec

import (
	"bytes"
	"net/netip"
	"testing"
)

func TestAddressRoundTrip(t *testing.T) {
	want := netip.MustParseAddrPort("10.20.30.40:5060")
	data := EncodeAddress(want)
	if wantBytes := []byte{10, 20, 30, 40, 0x13, 0xc4}; !bytes.Equal(data, wantBytes) {
		t.Errorf("EncodeAddress: got %v, want %v", data, wantBytes)
	}
	if got, err := DecodeAddress(data); err != nil || got != want {
		t.Errorf("DecodeAddress: got %v, error %v; want %v", got, err, want)
	}
}

func TestDecodeAddressOfWrongLength(t *testing.T) {
	for _, length := range []int{0, 5, 7} {
		if got, err := DecodeAddress(make([]byte, length)); err == nil || got.IsValid() {
			t.Errorf("DecodeAddress of %d bytes: got %v, error %v; want an error", length, got, err)
		}
	}
}
