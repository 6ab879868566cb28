package member

import (
	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/member/memberwire"
)

// encode returns the bytes of the datagram.
func (m *message) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, memberwire.NewRootDatagram, m.fill)
}

// fill writes the message into the root of the datagram.
func (m *message) fill(root memberwire.Datagram) error {
	root.SetRunning(m.running)
	root.SetDigest(m.digest)
	switch m.messageType {
	case pingMessage:
		root.SetPing()
		root.Ping().SetSequence(m.sequence)
	case ackMessage:
		root.SetAck()
		root.Ack().SetSequence(m.sequence)
		root.Ack().SetGeneration(m.generation)
	case indirectPingMessage:
		root.SetIndirectPing()
		root.IndirectPing().SetSequence(m.sequence)
		root.IndirectPing().SetTarget(packAddress(m.target))
	case rumorMessage:
		root.SetRumour()
	}
	if len(m.records) > 0 {
		if err := encodeRecords(root.NewRecords, m.records); err != nil {
			return err
		}
	}
	if len(m.assertions) > 0 {
		return encodeAssertions(root.NewClaims, m.assertions)
	}
	return nil
}

// decodeMessage decodes a datagram. An unknown type, an unknown state or a member without an address is an error.
func decodeMessage(data []byte) (message, error) {
	root, err := capnpcodec.Unmarshal(data, memberwire.ReadRootDatagram)
	if err != nil {
		return message{}, err
	}
	m := message{running: root.Running(), digest: root.Digest()}
	switch root.Which() {
	case memberwire.Datagram_Which_ping:
		m.messageType = pingMessage
		m.sequence = root.Ping().Sequence()
	case memberwire.Datagram_Which_ack:
		m.messageType = ackMessage
		m.sequence = root.Ack().Sequence()
		m.generation = root.Ack().Generation()
	case memberwire.Datagram_Which_indirectPing:
		m.messageType = indirectPingMessage
		m.sequence = root.IndirectPing().Sequence()
		m.target = unpackAddress(root.IndirectPing().Target())
	case memberwire.Datagram_Which_rumour:
		m.messageType = rumorMessage
	default:
		return message{}, merry.Errorf("datagram of unknown type %d", root.Which())
	}
	if m.records, err = decodeRecords(root.Records()); err != nil {
		return message{}, err
	}
	m.assertions, err = decodeAssertions(root.Claims())
	return m, err
}

func (r *exchangeRequest) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, memberwire.NewRootExchangeRequest, func(root memberwire.ExchangeRequest) error {
		root.SetDigest(r.digest)
		self, err := root.NewSelf()
		if err != nil {
			return err
		}
		return encodeRecord(self, &r.self)
	})
}

func decodeExchangeRequest(data []byte) (exchangeRequest, error) {
	root, err := capnpcodec.Unmarshal(data, memberwire.ReadRootExchangeRequest)
	if err != nil {
		return exchangeRequest{}, err
	}
	record, err := root.Self()
	if err != nil {
		return exchangeRequest{}, err
	}
	self, err := decodeRecord(record)
	return exchangeRequest{digest: root.Digest(), self: self}, err
}

func (r *exchangeResponse) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, memberwire.NewRootExchangeAnswer, func(root memberwire.ExchangeAnswer) error {
		root.SetEqual(r.equal)
		return encodeRecords(root.NewRecords, r.records)
	})
}

func decodeExchangeResponse(data []byte) (exchangeResponse, error) {
	root, err := capnpcodec.Unmarshal(data, memberwire.ReadRootExchangeAnswer)
	if err != nil {
		return exchangeResponse{}, err
	}
	records, err := decodeRecords(root.Records())
	return exchangeResponse{equal: root.Equal(), records: records}, err
}
