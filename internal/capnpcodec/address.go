package capnpcodec

import (
	"encoding/binary"
	"net/netip"

	"github.com/ansel1/merry/v2"
)

const (
	ipBytes      = 4
	portBytes    = 2
	addressBytes = ipBytes + portBytes
)

// EncodeAddress returns the four bytes of the IPv4 address followed by the two bytes of the port, in network byte
// order. It panics if the address is not an IPv4 address.
func EncodeAddress(address netip.AddrPort) []byte {
	ip := address.Addr().As4()
	return binary.BigEndian.AppendUint16(ip[:], address.Port())
}

// DecodeAddress decodes an address that EncodeAddress has encoded. It returns an error unless data has 6 bytes.
func DecodeAddress(data []byte) (netip.AddrPort, error) {
	if len(data) != addressBytes {
		return netip.AddrPort{}, merry.Errorf("decode address: got %d bytes, want %d", len(data), addressBytes)
	}
	ip := netip.AddrFrom4([ipBytes]byte(data[:ipBytes]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[ipBytes:])), nil
}
