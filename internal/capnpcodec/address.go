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

// EncodeAddress returns the four bytes of the IPv4 address and the two of the port, in network order. It panics if the
// address is not an IPv4 address.
func EncodeAddress(address netip.AddrPort) []byte {
	ip := address.Addr().As4()
	return binary.BigEndian.AppendUint16(ip[:], address.Port())
}

// DecodeAddress decodes what EncodeAddress returned.
func DecodeAddress(data []byte) (netip.AddrPort, error) {
	if len(data) != addressBytes {
		return netip.AddrPort{}, merry.Errorf("address of %d bytes", len(data))
	}
	ip := netip.AddrFrom4([ipBytes]byte(data[:ipBytes]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[ipBytes:])), nil
}
