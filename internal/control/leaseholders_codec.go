package control

import (
	"encoding/binary"
	"net/netip"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/control/controlwire"
)

func fillChangeLeaseholders(root controlwire.Command, command *ChangeLeaseholders) error {
	target, err := root.NewHolders()
	if err != nil {
		return err
	}
	target.SetEpoch(command.Epoch)
	target.SetExpectedRevision(command.ExpectedRevision)
	if err := fillLeaseholders(command.Add, target.NewAdd); err != nil {
		return err
	}
	return fillLeaseholders(command.Remove, target.NewRemove)
}

func fillLeaseholderSet(root controlwire.State, set *LeaseholderSet) error {
	target, err := root.NewHolders()
	if err != nil {
		return err
	}
	target.SetEpoch(set.Epoch)
	target.SetRevision(set.Revision)
	return fillLeaseholders(set.Members, target.NewMembers)
}

func fillLeaseholders(leaseholders []Leaseholder, newList func(int32) (controlwire.Holder_List, error)) error {
	list, err := newList(int32(len(leaseholders)))
	if err != nil {
		return err
	}
	for i, leaseholder := range leaseholders {
		ip := leaseholder.Address.Addr().As4()
		list.At(i).SetIp(binary.BigEndian.Uint32(ip[:]))
		list.At(i).SetPort(leaseholder.Address.Port())
		list.At(i).SetLife(leaseholder.Generation)
	}
	return nil
}

func readChangeLeaseholders(root controlwire.Command) (*Command, error) {
	source, err := root.Holders()
	if err != nil {
		return nil, err
	}
	command := &ChangeLeaseholders{Epoch: source.Epoch(), ExpectedRevision: source.ExpectedRevision()}
	if command.Add, err = readLeaseholders(source.Add()); err != nil {
		return nil, err
	}
	if command.Remove, err = readLeaseholders(source.Remove()); err != nil {
		return nil, err
	}
	return &Command{ChangeLeaseholders: command}, nil
}

func readLeaseholderSet(root controlwire.State) (LeaseholderSet, error) {
	source, err := root.Holders()
	if err != nil {
		return LeaseholderSet{}, err
	}
	members, err := readLeaseholders(source.Members())
	return LeaseholderSet{Epoch: source.Epoch(), Revision: source.Revision(), Members: members}, err
}

func readLeaseholders(list controlwire.Holder_List, err error) ([]Leaseholder, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var leaseholders []Leaseholder
	for i := range list.Len() {
		element := list.At(i)
		ip := [4]byte{}
		binary.BigEndian.PutUint32(ip[:], element.Ip())
		address := netip.AddrPortFrom(netip.AddrFrom4(ip), element.Port())
		leaseholders = append(leaseholders, Leaseholder{Address: address, Generation: element.Life()})
	}
	return leaseholders, nil
}
