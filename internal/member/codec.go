package member

import (
	"net/netip"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/member/memberwire"
)

const (
	portBits     = 16
	addressBytes = 4
)

func packAddress(address netip.AddrPort) uint64 {
	if !address.IsValid() {
		return 0
	}
	packed := uint64(0)
	for _, part := range address.Addr().As4() {
		packed = packed<<8 | uint64(part)
	}
	return packed<<portBits | uint64(address.Port())
}

func unpackAddress(packed uint64) netip.AddrPort {
	if packed == 0 {
		return netip.AddrPort{}
	}
	number := packed >> portBits
	var parts [addressBytes]byte
	for i := range parts {
		parts[i] = byte(number >> (8 * (addressBytes - 1 - i)))
	}
	return netip.AddrPortFrom(netip.AddrFrom4(parts), uint16(packed))
}

func (m *message) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, memberwire.NewRootDatagram, m.fill)
}

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
		root.Ack().SetLife(m.generation)
	case indirectPingMessage:
		root.SetIndirectPing()
		root.IndirectPing().SetSequence(m.sequence)
		root.IndirectPing().SetTarget(packAddress(m.target))
	case rumourMessage:
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

func encodeRecords(newList func(int32) (memberwire.Record_List, error), records []Member) error {
	list, err := newList(int32(len(records)))
	if err != nil {
		return err
	}
	for i := range records {
		if err := encodeRecord(list.At(i), &records[i]); err != nil {
			return err
		}
	}
	return nil
}

func encodeRecord(r memberwire.Record, m *Member) error {
	r.SetAddress(packAddress(m.Address))
	r.SetControlPlane(packAddress(m.ControlPlane))
	r.SetReplica(m.Replica)
	r.SetLife(m.Generation)
	r.SetIncarnation(m.Incarnation)
	r.SetState(memberwire.State(m.State))
	r.SetLeaving(m.Leaving)
	if err := r.SetName(m.Name); err != nil {
		return err
	}
	if err := r.SetRole(m.Role); err != nil {
		return err
	}
	if err := r.SetZone(m.Zone); err != nil {
		return err
	}
	return r.SetRegion(m.Region)
}

func encodeAssertions(newList func(int32) (memberwire.Claim_List, error), assertions []assertion) error {
	list, err := newList(int32(len(assertions)))
	if err != nil {
		return err
	}
	for i, asserted := range assertions {
		item := list.At(i)
		item.SetAddress(packAddress(asserted.address))
		item.SetLife(asserted.generation)
		item.SetIncarnation(asserted.incarnation)
		item.SetState(memberwire.State(asserted.state))
	}
	return nil
}

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
		m.generation = root.Ack().Life()
	case memberwire.Datagram_Which_indirectPing:
		m.messageType = indirectPingMessage
		m.sequence = root.IndirectPing().Sequence()
		m.target = unpackAddress(root.IndirectPing().Target())
	case memberwire.Datagram_Which_rumour:
		m.messageType = rumourMessage
	default:
		return message{}, merry.Errorf("datagram of unknown type %d", root.Which())
	}
	if m.records, err = decodeRecords(root.Records()); err != nil {
		return message{}, err
	}
	m.assertions, err = decodeAssertions(root.Claims())
	return m, err
}

func decodeRecords(list memberwire.Record_List, err error) ([]Member, error) {
	if err != nil || list.Len() == 0 {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	records := make([]Member, list.Len())
	for i := range records {
		record, err := decodeRecord(list.At(i))
		if err != nil {
			return nil, err
		}
		records[i] = record
	}
	return records, nil
}

func decodeRecord(r memberwire.Record) (Member, error) {
	m := Member{
		Address:      unpackAddress(r.Address()),
		ControlPlane: unpackAddress(r.ControlPlane()),
		Replica:      r.Replica(),
		Generation:   r.Life(),
		Incarnation:  r.Incarnation(),
		State:        State(r.State()),
		Leaving:      r.Leaving(),
	}
	if err := checkAssertion(m.assertion()); err != nil {
		return Member{}, err
	}
	var err error
	if m.Name, err = r.Name(); err != nil {
		return Member{}, err
	}
	if m.Role, err = r.Role(); err != nil {
		return Member{}, err
	}
	if m.Zone, err = r.Zone(); err != nil {
		return Member{}, err
	}
	m.Region, err = r.Region()
	return m, err
}

func decodeAssertions(list memberwire.Claim_List, err error) ([]assertion, error) {
	if err != nil || list.Len() == 0 {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	assertions := make([]assertion, list.Len())
	for i := range assertions {
		item := list.At(i)
		assertions[i] = assertion{
			address:     unpackAddress(item.Address()),
			generation:  item.Life(),
			incarnation: item.Incarnation(),
			state:       State(item.State()),
		}
		if err := checkAssertion(assertions[i]); err != nil {
			return nil, err
		}
	}
	return assertions, nil
}

func checkAssertion(asserted assertion) error {
	if !asserted.address.IsValid() {
		return merry.New("member without an address")
	}
	if asserted.state > Left {
		return merry.Errorf("member in unknown state %d", asserted.state)
	}
	return nil
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

func (a *exchangeAnswer) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, memberwire.NewRootExchangeAnswer, func(root memberwire.ExchangeAnswer) error {
		root.SetEqual(a.equal)
		return encodeRecords(root.NewRecords, a.records)
	})
}

func decodeExchangeAnswer(data []byte) (exchangeAnswer, error) {
	root, err := capnpcodec.Unmarshal(data, memberwire.ReadRootExchangeAnswer)
	if err != nil {
		return exchangeAnswer{}, err
	}
	records, err := decodeRecords(root.Records())
	return exchangeAnswer{equal: root.Equal(), records: records}, err
}
