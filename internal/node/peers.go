package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"
)

const (
	// maxDatagram bounds the number of bytes of a message.
	maxDatagram = 256
	// datagramQueueLength is the number of datagrams that can wait to be sent. Further ones are dropped, as UDP may do
	// anyway.
	datagramQueueLength = 64
	// readErrorPause is the pause after a failed read, so that a persistent error does not cause a busy loop.
	readErrorPause = time.Millisecond
)

// datagram is a message that waits to be sent to one address.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// peers sends and receives the messages between nodes as datagrams. On a nil *peers, send does nothing.
type peers struct {
	conn  *net.UDPConn
	nodes []netip.AddrPort // indexed by node number
	all   netip.AddrPort   // if valid, an address that reaches all nodes
	self  int              // this node's number
	queue chan datagram
	log   *slog.Logger
}

// listenPeers opens the socket for messages between nodes. It returns nil if the configuration does not provide for
// them.
func listenPeers(c *Config, log *slog.Logger) (*peers, error) {
	if !c.PeerListen.IsValid() || !c.Settings.MayMessage {
		return nil, nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.PeerListen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &peers{
		conn:  conn,
		nodes: c.Peers,
		all:   c.PeersAll,
		self:  c.Settings.Self,
		queue: make(chan datagram, datagramQueueLength),
		log:   log,
	}, nil
}

// send queues a message to one node or to all. It never blocks: it drops the message if the queue is full or the
// message exceeds maxDatagram.
func (p *peers) send(to int, toAll bool, data []byte) {
	if p == nil || len(data) > maxDatagram {
		return
	}
	var dest []netip.AddrPort
	switch {
	case toAll && p.all.IsValid():
		dest = []netip.AddrPort{p.all}
	case toAll:
		for i, a := range p.nodes {
			if i != p.self {
				dest = append(dest, a)
			}
		}
	case to >= 0 && to < len(p.nodes):
		dest = p.nodes[to : to+1]
	}
	for _, a := range dest {
		select {
		case p.queue <- datagram{a, data}:
		default:
		}
	}
}

// write sends the queued messages until ctx ends. Then it closes the socket, which also ends read.
func (p *peers) write(ctx context.Context) {
	defer func() { _ = p.conn.Close() }() // nothing depends on how it closes
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.queue:
			if _, err := p.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
				p.log.Debug("send datagram failed", "peer", d.to, "err", err)
			}
		}
	}
}

// read calls receive for each message of another node until the socket is closed. It drops datagrams from other senders
// and those that exceed maxDatagram.
func (p *peers) read(receive func(from int, data []byte)) {
	nodeByAddr := map[netip.AddrPort]int{}
	for i, a := range p.nodes {
		nodeByAddr[a] = i
	}
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as an ICMP error for an earlier datagram: keep reading, but do not spin
			time.Sleep(readErrorPause)
			continue
		}
		i, known := nodeByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && i != p.self && n <= maxDatagram {
			receive(i, append([]byte(nil), buf[:n]...))
		}
	}
}
