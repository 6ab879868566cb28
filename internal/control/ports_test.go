package control

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
)

// freePort returns a port that is free on all addresses of the system, outside of the range of ephemeral ports.
func freePort(t *testing.T) uint16 {
	t.Helper()
	const first, count, tries = 20000, 12000, 100
	for range tries {
		if port := uint16(first + rand.IntN(count)); portIsFree(port) {
			return port
		}
	}
	t.Fatal("got no free port")
	return 0
}

func portIsFree(port uint16) bool {
	for node := range testNodeCount {
		address := netip.AddrPortFrom(nodeAddress(node), port)
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			return false
		}
		packets, err := net.ListenPacket("udp4", address.String())
		_ = listener.Close()
		if err != nil {
			return false
		}
		_ = packets.Close()
	}
	return true
}
