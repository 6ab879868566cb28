package control

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"capnproto.org/go/capnp/v3"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/control/controlwire"
)

func fillChangeLeaseholders(root controlwire.Command, command *ChangeLeaseholders) error {
	target, err := root.NewLeaseholders()
	if err != nil {
		return err
	}
	target.SetEpoch(command.Epoch)
	target.SetExpectedRevision(command.ExpectedRevision)
	target.SetSpendAll(command.SpendAll)
	return errors.Join(
		fillLeaseholders(command.Add, target.NewAdd),
		fillLeaseholders(command.Remove, target.NewRemove),
		fillNames(command.Keep, target.NewKeep),
		fillNames(command.Spend, target.NewSpend),
	)
}

func fillLeaseholderSet(root controlwire.State, set *LeaseholderSet) error {
	target, err := root.NewLeaseholders()
	if err != nil {
		return err
	}
	target.SetEpoch(set.Epoch)
	target.SetRevision(set.Revision)
	return errors.Join(
		fillLeaseholders(set.Members, target.NewMembers),
		fillLeaseholders(set.Former, target.NewFormer),
		fillNames(set.Reserves, target.NewReserves),
	)
}

// fillNames writes a list of names, or nothing if the list is empty.
func fillNames(names []string, newList func(int32) (capnp.TextList, error)) error {
	if len(names) == 0 {
		return nil
	}
	list, err := newList(int32(len(names)))
	if err != nil {
		return err
	}
	for i, name := range names {
		if err := list.Set(i, name); err != nil {
			return err
		}
	}
	return nil
}

func readNames(list capnp.TextList, err error) ([]string, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var names []string
	for i := range list.Len() {
		name, err := list.At(i)
		if err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

func fillLeaseholders(leaseholders []Leaseholder, newList func(int32) (controlwire.Leaseholder_List, error)) error {
	list, err := newList(int32(len(leaseholders)))
	if err != nil {
		return err
	}
	for i, leaseholder := range leaseholders {
		ip := leaseholder.Address.Addr().As4()
		list.At(i).SetIp(binary.BigEndian.Uint32(ip[:]))
		list.At(i).SetPort(leaseholder.Address.Port())
		list.At(i).SetGeneration(leaseholder.Generation)
	}
	return nil
}

func readChangeLeaseholders(root controlwire.Command) (*Command, error) {
	source, err := root.Leaseholders()
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
	command.SpendAll = source.SpendAll()
	if command.Keep, err = readNames(source.Keep()); err != nil {
		return nil, err
	}
	if command.Spend, err = readNames(source.Spend()); err != nil {
		return nil, err
	}
	return &Command{ChangeLeaseholders: command}, nil
}

func readLeaseholderSet(root controlwire.State) (LeaseholderSet, error) {
	source, err := root.Leaseholders()
	if err != nil {
		return LeaseholderSet{}, err
	}
	set := LeaseholderSet{Epoch: source.Epoch(), Revision: source.Revision()}
	if set.Members, err = readLeaseholders(source.Members()); err != nil {
		return LeaseholderSet{}, err
	}
	if set.Former, err = readLeaseholders(source.Former()); err != nil {
		return LeaseholderSet{}, err
	}
	set.Reserves, err = readNames(source.Reserves())
	return set, err
}

func readLeaseholders(list controlwire.Leaseholder_List, err error) ([]Leaseholder, error) {
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
		leaseholders = append(leaseholders, Leaseholder{Address: address, Generation: element.Generation()})
	}
	return leaseholders, nil
}
