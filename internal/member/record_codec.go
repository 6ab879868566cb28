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

// packAddress returns an IPv4 address and its port as one number, 0 for an invalid address.
func packAddress(address netip.AddrPort) uint64 {
	if !address.IsValid() {
		return 0
	}
	packed := uint64(0)
	for _, octet := range address.Addr().As4() {
		packed = packed<<8 | uint64(octet)
	}
	return packed<<portBits | uint64(address.Port())
}

// unpackAddress is the inverse of packAddress.
func unpackAddress(packed uint64) netip.AddrPort {
	if packed == 0 {
		return netip.AddrPort{}
	}
	number := packed >> portBits
	var octets [addressBytes]byte
	for i := range octets {
		octets[i] = byte(number >> (8 * (addressBytes - 1 - i)))
	}
	return netip.AddrPortFrom(netip.AddrFrom4(octets), uint16(packed))
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
	r.SetGeneration(m.Generation)
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
		item.SetGeneration(asserted.generation)
		item.SetIncarnation(asserted.incarnation)
		item.SetState(memberwire.State(asserted.state))
	}
	return nil
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
		Generation:   r.Generation(),
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
			generation:  item.Generation(),
			incarnation: item.Incarnation(),
			state:       State(item.State()),
		}
		if err := checkAssertion(assertions[i]); err != nil {
			return nil, err
		}
	}
	return assertions, nil
}

// checkAssertion rejects an assertion that no member sends: one without an address or in an unknown state.
func checkAssertion(asserted assertion) error {
	if !asserted.address.IsValid() {
		return merry.New("member without an address")
	}
	if asserted.state > Left {
		return merry.Errorf("member in unknown state %d", asserted.state)
	}
	return nil
}
