package control

import (
	"net/netip"
	"reflect"
	"testing"

	"nickelline/internal/fault"
)

func holder(address string, generation uint64) Leaseholder {
	return Leaseholder{Address: netip.MustParseAddrPort(address), Generation: generation}
}

var (
	holderA = holder("10.0.0.1:7661", 1<<63)
	holderB = holder("10.0.0.2:7661", 2)
	holderC = holder("10.0.0.1:7662", 3)
)

func changeHolders(epoch, revision uint64, add, remove []Leaseholder) *Command {
	return &Command{ChangeLeaseholders: &ChangeLeaseholders{Epoch: epoch, ExpectedRevision: revision, Add: add, Remove: remove}}
}

func wantHolders(t *testing.T, m *Machine, want LeaseholderSet) {
	t.Helper()
	if got := m.State().Leaseholders; !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestHoldersAreAddedAndRemoved(t *testing.T) {
	m := NewMachine()
	expect(t, m, changeHolders(1, 0, []Leaseholder{holderB, holderA}, nil), Accepted)
	expect(t, m, changeHolders(1, 1, []Leaseholder{holderC}, []Leaseholder{holderB}), Accepted)
	wantHolders(t, m, LeaseholderSet{Epoch: 1, Revision: 2, Members: []Leaseholder{holderA, holderC}})
}

func TestNewGenerationReplacesTheFormer(t *testing.T) {
	m := NewMachine()
	expect(t, m, changeHolders(1, 0, []Leaseholder{holderA, holderB}, nil), Accepted)
	restarted := Leaseholder{Address: holderA.Address, Generation: 9}
	expect(t, m, changeHolders(1, 1, []Leaseholder{restarted}, nil), Accepted)
	expect(t, m, changeHolders(1, 2, nil, []Leaseholder{holderA}), Accepted) // not the generation that is there
	wantHolders(t, m, LeaseholderSet{Epoch: 1, Revision: 3, Members: []Leaseholder{restarted, holderB}})
}

func TestHoldersChangeOnlyFromTheCurrentRevision(t *testing.T) {
	m := NewMachine()
	expect(t, m, changeHolders(2, 0, []Leaseholder{holderA}, nil), Accepted)
	expect(t, m, changeHolders(2, 0, nil, []Leaseholder{holderA}), VersionMismatch)
	expect(t, m, changeHolders(3, 0, nil, []Leaseholder{holderA}), VersionMismatch)
	wantHolders(t, m, LeaseholderSet{Epoch: 2, Revision: 1, Members: []Leaseholder{holderA}})
}

func TestLaterAllocatorShutsOutEarlierOnes(t *testing.T) {
	m := NewMachine()
	expect(t, m, changeHolders(2, 0, []Leaseholder{holderA}, nil), Accepted)
	expect(t, m, changeHolders(3, 1, nil, nil), Accepted)
	expect(t, m, changeHolders(2, 1, []Leaseholder{holderB}, nil), VersionMismatch)
	expect(t, m, changeHolders(2, 2, []Leaseholder{holderB}, nil), VersionMismatch)
	wantHolders(t, m, LeaseholderSet{Epoch: 3, Revision: 2, Members: []Leaseholder{holderA}})
}

func TestSnapshotHoldsTheHolders(t *testing.T) {
	m := NewMachine()
	expect(t, m, changeHolders(2, 0, []Leaseholder{holderA, holderB, holderC}, nil), Accepted)
	restored := NewMachine()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	wantHolders(t, restored, m.State().Leaseholders)
}

func TestChangeHolders(t *testing.T) {
	c := &Control{machine: NewMachine()}
	_, err := c.ChangeLeaseholders(t.Context(), &ChangeLeaseholders{})
	wantKind(t, err, fault.NotReady)
	replica := &fakeReplica{}
	c.service = newTestService(replica)
	c.machine = replica.machine
	set, err := c.ChangeLeaseholders(t.Context(), &ChangeLeaseholders{Epoch: 1, Add: []Leaseholder{holderA}})
	if err != nil || len(set.Members) != 1 {
		t.Errorf("%+v, error %v", set, err)
	}
	_, err = c.ChangeLeaseholders(t.Context(), &ChangeLeaseholders{Epoch: 1})
	wantKind(t, err, fault.VersionConflict)
	replica.fail(fault.New(fault.Unclear, "lost"))
	_, err = c.ChangeLeaseholders(t.Context(), &ChangeLeaseholders{Epoch: 1, ExpectedRevision: 1})
	wantKind(t, err, fault.Unclear)
}
