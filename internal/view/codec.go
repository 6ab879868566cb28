package view

import (
	"net/netip"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/view/viewwire"
)

// Encode returns a view as a Cap'n Proto message.
func Encode(v View) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootView, func(root viewwire.View) error {
		return writeView(root, v)
	})
}

// Decode reads a view that Encode wrote.
func Decode(data []byte) (View, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootView)
	if err != nil {
		return View{}, err
	}
	return readView(root)
}

func writeView(target viewwire.View, v View) error {
	target.SetChain(v.Chain)
	target.SetEpoch(v.Epoch)
	if err := writeMembers(target.NewMembers, v.Members); err != nil {
		return err
	}
	if len(v.Voters) == 0 {
		return nil
	}
	return writeMembers(target.NewVoters, v.Voters)
}

func writeMembers(allocate func(int32) (viewwire.Member_List, error), members []Member) error {
	list, err := allocate(int32(len(members)))
	if err != nil {
		return err
	}
	for i, member := range members {
		if err := writeMember(list.At(i), member); err != nil {
			return err
		}
	}
	return nil
}

func readView(source viewwire.View) (View, error) {
	v := View{Chain: source.Chain(), Epoch: source.Epoch()}
	var err error
	if v.Members, err = readMembers(source.Members()); err != nil {
		return View{}, err
	}
	if v.Voters, err = readMembers(source.Voters()); err != nil {
		return View{}, err
	}
	return v, nil
}

func readMembers(list viewwire.Member_List, err error) ([]Member, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var members []Member
	for i := range list.Len() {
		member, err := readMember(list.At(i))
		if err != nil {
			return nil, err
		}
		members = append(members, member)
	}
	return members, nil
}

func writeMember(target viewwire.Member, m Member) error {
	target.SetReplica(uint64(m.Replica))
	target.SetJoined(m.Joined)
	if err := target.SetName(m.Name); err != nil {
		return err
	}
	if err := target.SetZone(m.Zone); err != nil {
		return err
	}
	return target.SetAddress(m.Address.String())
}

func readMember(source viewwire.Member) (Member, error) {
	m := Member{Replica: ReplicaID(source.Replica()), Joined: source.Joined()}
	var err error
	if m.Name, err = source.Name(); err != nil {
		return Member{}, err
	}
	if m.Zone, err = source.Zone(); err != nil {
		return Member{}, err
	}
	address, err := source.Address()
	if err != nil {
		return Member{}, err
	}
	if m.Address, err = netip.ParseAddrPort(address); err != nil {
		return Member{}, merry.Prependf(err, "parse address of member %q", m.Name)
	}
	return m, nil
}

// EncodeMember returns a member as a Cap'n Proto message.
func EncodeMember(m Member) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootMember, func(root viewwire.Member) error {
		return writeMember(root, m)
	})
}

// DecodeMember reads a member that EncodeMember wrote.
func DecodeMember(data []byte) (Member, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootMember)
	if err != nil {
		return Member{}, err
	}
	return readMember(root)
}
