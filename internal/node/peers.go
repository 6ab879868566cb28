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
	// maxDatagram bounds the bytes of a message.
	maxDatagram = 256
	// datagramQueueLength is the number of datagrams that may wait to be sent; more are lost, as datagrams may be.
	datagramQueueLength = 64
	// readErrorPause follows a failed read, so that a lasting error makes no busy loop.
	readErrorPause = time.Millisecond
)

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// peers sends and receives datagrams between nodes. A nil *peers sends none.
type peers struct {
	conn  *net.UDPConn
	nodes []netip.AddrPort // by number
	all   netip.AddrPort   // reaches all nodes, if valid
	self  int              // this node's number
	queue chan datagram
	log   *slog.Logger
}

// listenPeers returns the peers of a node, or nil where nodes send each other no messages.
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

// send queues a message to one node, or to all. It never blocks: a message that finds the queue full is lost.
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

// write sends what is queued until ctx ends; then it closes the socket, which ends read too.
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

// read calls receive with each message of another node, until the socket is closed. Anything else is dropped.
func (p *peers) read(receive func(from int, data []byte)) {
	number := map[netip.AddrPort]int{}
	for i, a := range p.nodes {
		number[a] = i
	}
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an earlier datagram's refusal: no reason to stop, nor to spin
			time.Sleep(readErrorPause)
			continue
		}
		i, known := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && i != p.self && n <= maxDatagram {
			receive(i, append([]byte(nil), buf[:n]...))
		}
	}
}
