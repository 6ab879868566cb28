package placement

import (
	"encoding/binary"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/placement/placementwire"
	"nickelline/internal/view"
)

// Encode returns a table as a Cap'n Proto message. Each replica is listed once, and partitions refer to it by its index in the
// list.
func Encode(t Table) ([]byte, error) {
	data, err := encode(t)
	if err != nil {
		return nil, merry.Prepend(err, "encode placement")
	}
	return data, nil
}

func encode(t Table) ([]byte, error) {
	return capnpcodec.Marshal(0, placementwire.NewRootTable, func(root placementwire.Table) error {
		root.SetVersion(t.Version)
		replicas := newReplicaTable(t)
		if err := replicas.encode(root); err != nil {
			return err
		}
		return encodePartitions(root, t.Partitions, replicas)
	})
}

func encodePartitions(root placementwire.Table, partitions []Partition, replicas *replicaTable) error {
	list, err := root.NewPartitions(int32(len(partitions)))
	if err != nil {
		return err
	}
	for i, partition := range partitions {
		if err := replicas.encodePartition(list.At(i), partition); err != nil {
			return err
		}
	}
	return nil
}

// replicaTable lists the replicas of a table and maps each to its index. Members that differ only in Joined are one replica.
type replicaTable struct {
	indexes  map[view.Member]uint32
	replicas []view.Member
}

func newReplicaTable(t Table) *replicaTable {
	list := &replicaTable{indexes: make(map[view.Member]uint32)}
	for _, partition := range t.Partitions {
		for _, member := range partition.View.Members {
			list.add(member)
		}
		for _, learner := range partition.Learners {
			list.add(learner)
		}
	}
	return list
}

func (l *replicaTable) add(member view.Member) {
	member.Joined = 0
	if _, ok := l.indexes[member]; ok {
		return
	}
	l.indexes[member] = uint32(len(l.replicas))
	l.replicas = append(l.replicas, member)
}

func (l *replicaTable) indexOf(member view.Member) uint32 {
	member.Joined = 0
	return l.indexes[member]
}

func (l *replicaTable) encode(root placementwire.Table) error {
	entries, err := root.NewReplicas(int32(len(l.replicas)))
	if err != nil {
		return err
	}
	for i, replica := range l.replicas {
		if err := encodeReplica(entries.At(i), replica); err != nil {
			return err
		}
	}
	return nil
}

func encodeReplica(entry placementwire.Replica, replica view.Member) error {
	if !replica.Address.Addr().Is4() {
		return merry.Errorf("replica %s has no IPv4 address", replica.Name)
	}
	address := replica.Address.Addr().As4()
	entry.SetId(uint64(replica.Replica))
	entry.SetAddress(binary.BigEndian.Uint32(address[:]))
	entry.SetPort(replica.Address.Port())
	if err := entry.SetName(replica.Name); err != nil {
		return err
	}
	return entry.SetZone(replica.Zone)
}

func (l *replicaTable) encodePartition(entry placementwire.Partition, partition Partition) error {
	entry.SetChain(partition.View.Chain)
	entry.SetEpoch(partition.View.Epoch)
	members, err := entry.NewMembers(int32(len(partition.View.Members)))
	if err != nil {
		return err
	}
	for i, member := range partition.View.Members {
		members.At(i).SetReplica(l.indexOf(member))
		members.At(i).SetJoined(member.Joined)
	}
	learners, err := entry.NewLearners(int32(len(partition.Learners)))
	if err != nil {
		return err
	}
	for i, learner := range partition.Learners {
		learners.Set(i, l.indexOf(learner))
	}
	return nil
}

// Decode reads a table that Encode wrote. Empty data stands for the empty table before the first placement.
func Decode(data []byte) (Table, error) {
	if len(data) == 0 {
		return Table{}, nil
	}
	table, err := decode(data)
	if err != nil {
		return Table{}, merry.Prepend(err, "decode placement")
	}
	return table, nil
}

func decode(data []byte) (Table, error) {
	root, err := capnpcodec.Unmarshal(data, placementwire.ReadRootTable)
	if err != nil {
		return Table{}, err
	}
	replicas, err := decodeReplicas(root)
	if err != nil {
		return Table{}, err
	}
	entries, err := root.Partitions()
	if err != nil {
		return Table{}, err
	}
	if err := capnpcodec.CheckLength(entries); err != nil {
		return Table{}, err
	}
	table := Table{Version: root.Version(), Partitions: make([]Partition, entries.Len())}
	for i := range table.Partitions {
		if table.Partitions[i], err = decodePartition(entries.At(i), replicas); err != nil {
			return Table{}, err
		}
	}
	return table, nil
}

func decodeReplicas(root placementwire.Table) ([]view.Member, error) {
	entries, err := root.Replicas()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(entries); err != nil {
		return nil, err
	}
	replicas := make([]view.Member, entries.Len())
	for i := range replicas {
		if replicas[i], err = decodeReplica(entries.At(i)); err != nil {
			return nil, err
		}
	}
	return replicas, nil
}

func decodeReplica(entry placementwire.Replica) (view.Member, error) {
	name, err := entry.Name()
	if err != nil {
		return view.Member{}, err
	}
	zone, err := entry.Zone()
	if err != nil {
		return view.Member{}, err
	}
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], entry.Address())
	return view.Member{
		Replica: view.ReplicaID(entry.Id()),
		Name:    name,
		Zone:    zone,
		Address: netip.AddrPortFrom(netip.AddrFrom4(address), entry.Port()),
	}, nil
}

func decodePartition(entry placementwire.Partition, replicas []view.Member) (Partition, error) {
	partition := Partition{View: view.View{Chain: entry.Chain(), Epoch: entry.Epoch()}}
	members, err := entry.Members()
	if err != nil {
		return Partition{}, err
	}
	if err := capnpcodec.CheckLength(members); err != nil {
		return Partition{}, err
	}
	for i := range members.Len() {
		member, err := replicaAt(replicas, members.At(i).Replica())
		if err != nil {
			return Partition{}, err
		}
		member.Joined = members.At(i).Joined()
		partition.View.Members = append(partition.View.Members, member)
	}
	learners, err := entry.Learners()
	if err != nil {
		return Partition{}, err
	}
	for i := range learners.Len() {
		learner, err := replicaAt(replicas, learners.At(i))
		if err != nil {
			return Partition{}, err
		}
		partition.Learners = append(partition.Learners, learner)
	}
	return partition, nil
}

func replicaAt(replicas []view.Member, index uint32) (view.Member, error) {
	if uint64(index) >= uint64(len(replicas)) {
		return view.Member{}, merry.Errorf("replica index %d out of range, the table lists %d", index, len(replicas))
	}
	return replicas[index], nil
}
