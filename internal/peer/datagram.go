package peer

import (
	"errors"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

const (
	// MaxDatagramBytes is the maximum size of an encoded frame that SendDatagram sends. It fits into one packet.
	MaxDatagramBytes = 1400
	// datagramBufferSize is the size of the receive buffer. It exceeds MaxDatagramBytes because other senders may send
	// longer datagrams.
	datagramBufferSize = 2 << 10
)

// SendDatagram sends a message over UDP. The message may be lost. It is dropped if its frame exceeds MaxDatagramBytes.
func (t *Transport) SendDatagram(to netip.AddrPort, m Message) {
	f := &frame{frameType: datagramFrame, kind: m.Kind, body: m.Body}
	data, err := f.encode()
	if err == nil && len(data) > MaxDatagramBytes {
		err = merry.Errorf("datagram of %d bytes, want %d at most", len(data), MaxDatagramBytes)
	}
	if err == nil {
		_, err = t.packetConn.WriteToUDPAddrPort(data, to)
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
		size, from, err := t.packetConn.ReadFromUDPAddrPort(buffer)
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

// receiveDatagram decodes a datagram and passes it to its handler. A datagram of a kind without a handler is dropped.
func (t *Transport) receiveDatagram(from netip.AddrPort, data []byte) {
	f, err := decodeFrame(data)
	if err != nil || f.frameType != datagramFrame {
		t.log.Debug("decode datagram failed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	t.signalPeerUp(from)
	if handler := t.datagramHandlers[f.kind]; handler != nil {
		handler(from, Message{Kind: f.kind, Body: f.body})
	}
}
