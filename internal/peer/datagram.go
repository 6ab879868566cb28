package peer

import (
	"errors"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

const (
	// MaxDatagram is the longest datagram, with its frame, that Datagram sends: it fits into one packet.
	MaxDatagram = 1400
	// datagramBufferSize has room for what others may send.
	datagramBufferSize = 2 << 10
)

// Datagram sends a message by UDP. It may be lost; one of more than MaxDatagram bytes is dropped.
func (t *Transport) Datagram(to netip.AddrPort, m Message) {
	f := &frame{frameType: datagramFrame, kind: m.Kind, body: m.Body}
	data, err := f.encode()
	if err == nil && len(data) > MaxDatagram {
		err = merry.Errorf("datagram of %d bytes", len(data))
	}
	if err == nil {
		_, err = t.packets.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		t.log.Debug("send datagram failed", zap.Stringer("to", to), zap.Error(err))
		return
	}
	t.countSent(to, m.Kind, len(data)+datagramHeaderBytes)
}

// receiveDatagrams receives datagrams until Close.
func (t *Transport) receiveDatagrams() {
	buffer := make([]byte, datagramBufferSize)
	for {
		size, from, err := t.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.log.Debug("receive datagram failed", zap.Error(err))
			continue
		}
		data := make([]byte, size)
		copy(data, buffer[:size])
		t.receiveDatagram(from, data)
	}
}

// receiveDatagram passes a datagram to its handler.
func (t *Transport) receiveDatagram(from netip.AddrPort, data []byte) {
	f, err := decodeFrame(data)
	if err != nil || f.frameType != datagramFrame {
		t.log.Debug("decode datagram failed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	t.notePeerUp(from)
	if handler := t.datagrams[f.kind]; handler != nil {
		handler(from, Message{Kind: f.kind, Body: f.body})
	}
}
