package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// Listen binds the address for TCP and UDP. Nothing is received before Start.
func Listen(address netip.AddrPort, log *zap.Logger) (*Transport, error) {
	listener, packets, err := bind(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		address:      listener.Addr().(*net.TCPAddr).AddrPort(),
		dialTimeouts: dialTimeouts,
		generation:   rand.Uint64() | 1,
		log:          log,
		listener:     listener,
		packets:      packets,
		dialer:       newDialer(log),
		handlers:     make(map[Kind]Handler),
		oneWay:       make(map[Kind]func(netip.AddrPort, Message)),
		datagrams:    make(map[Kind]func(netip.AddrPort, Message)),
		context:      ctx,
		cancel:       cancel,
		connections:  make(map[netip.AddrPort]*connection),
		open:         make(map[*connection]struct{}),
	}, nil
}

// bind opens both sockets on one port. If any port will do, the one that TCP got may be in use for UDP: then others are
// tried.
func bind(address netip.AddrPort) (*net.TCPListener, *net.UDPConn, error) {
	var failure error
	for range maxBindAttempts {
		listener, err := newListenConfig().Listen(context.Background(), "tcp4", address.String())
		if err != nil {
			return nil, nil, merry.Wrap(err)
		}
		bound := listener.Addr().(*net.TCPAddr).AddrPort()
		packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bound))
		if err == nil {
			return listener.(*net.TCPListener), packets, nil
		}
		_ = listener.Close()
		failure = err
		if address.Port() != 0 {
			break
		}
	}
	return nil, nil, merry.Wrap(failure)
}
