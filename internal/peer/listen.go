package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// Listen binds the address for TCP and UDP, on the same port for both. If the port is 0, it chooses a free one. Nothing
// is received before Start. The caller must call Close.
func Listen(address netip.AddrPort, log *zap.Logger) (*Transport, error) {
	listener, packetConn, err := bind(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		address:             listener.Addr().(*net.TCPAddr).AddrPort(),
		dialAttemptTimeouts: dialAttemptTimeouts,
		generation:          rand.Uint64() | 1,
		log:                 log,
		listener:            listener,
		packetConn:          packetConn,
		dialer:              newDialer(log),
		handlers:            make(map[Kind]Handler),
		oneWayHandlers:      make(map[Kind]func(netip.AddrPort, Message)),
		datagramHandlers:    make(map[Kind]func(netip.AddrPort, Message)),
		context:             ctx,
		cancel:              cancel,
		connectionByPeer:    make(map[netip.AddrPort]*connection),
		openConnections:     make(map[*connection]struct{}),
	}, nil
}

// bind opens both sockets on one port. If the port of the address is 0, the port chosen for TCP may be in use for UDP;
// in that case bind tries another, up to maxBindAttempts times in all.
func bind(address netip.AddrPort) (*net.TCPListener, *net.UDPConn, error) {
	var failure error
	for range maxBindAttempts {
		listener, err := newListenConfig().Listen(context.Background(), "tcp4", address.String())
		if err != nil {
			return nil, nil, merry.Wrap(err)
		}
		bound := listener.Addr().(*net.TCPAddr).AddrPort()
		packetConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bound))
		if err == nil {
			return listener.(*net.TCPListener), packetConn, nil
		}
		_ = listener.Close()
		failure = err
		if address.Port() != 0 {
			break
		}
	}
	return nil, nil, merry.Wrap(failure)
}
