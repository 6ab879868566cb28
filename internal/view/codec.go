package view

import (
	"net/netip"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/view/viewwire"
)

// Encode gives a view as a Cap'n Proto message.
func Encode(v View) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootView, func(root viewwire.View) error {
		return writeView(root, v)
	})
}

// Decode reads what Encode gave.
func Decode(data []byte) (View, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootView)
	if err != nil {
		return View{}, err
	}
	return readView(root)
}

func writeView(w viewwire.View, v View) error {
	w.SetChain(v.Chain)
	w.SetEpoch(v.Epoch)
	if err := writeMembers(w.NewMembers, v.Members); err != nil {
		return err
	}
	if len(v.Voters) == 0 {
		return nil
	}
	return writeMembers(w.NewVoters, v.Voters)
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

func readView(r viewwire.View) (View, error) {
	v := View{Chain: r.Chain(), Epoch: r.Epoch()}
	var err error
	if v.Members, err = readMembers(r.Members()); err != nil {
		return View{}, err
	}
	if v.Voters, err = readMembers(r.Voters()); err != nil {
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

func writeMember(w viewwire.Member, m Member) error {
	w.SetReplica(uint64(m.Replica))
	w.SetJoined(m.Joined)
	if err := w.SetName(m.Name); err != nil {
		return err
	}
	if err := w.SetZone(m.Zone); err != nil {
		return err
	}
	return w.SetAddress(m.Address.String())
}

func readMember(r viewwire.Member) (Member, error) {
	m := Member{Replica: ReplicaID(r.Replica()), Joined: r.Joined()}
	var err error
	if m.Name, err = r.Name(); err != nil {
		return Member{}, err
	}
	if m.Zone, err = r.Zone(); err != nil {
		return Member{}, err
	}
	address, err := r.Address()
	if err != nil {
		return Member{}, err
	}
	if m.Address, err = netip.ParseAddrPort(address); err != nil {
		return Member{}, merry.Prepend(err, "address of a member")
	}
	return m, nil
}

// EncodeMember gives a member as a Cap'n Proto message.
func EncodeMember(m Member) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootMember, func(root viewwire.Member) error {
		return writeMember(root, m)
	})
}

// DecodeMember reads what EncodeMember gave.
func DecodeMember(data []byte) (Member, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootMember)
	if err != nil {
		return Member{}, err
	}
	return readMember(root)
}
