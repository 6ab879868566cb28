package control

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"nickelline/internal/fault"
)

func leaseholder(address string, generation uint64) Leaseholder {
	return Leaseholder{Address: netip.MustParseAddrPort(address), Generation: generation}
}

var (
	leaseholderA = leaseholder("10.0.0.1:7661", 1<<63)
	leaseholderB = leaseholder("10.0.0.2:7661", 2)
	leaseholderC = leaseholder("10.0.0.1:7662", 3)
)

func changeLeaseholders(epoch, revision uint64, add, remove []Leaseholder) *Command {
	return &Command{ChangeLeaseholders: &ChangeLeaseholders{Epoch: epoch, ExpectedRevision: revision, Add: add, Remove: remove}}
}

func checkLeaseholders(t *testing.T, m *Machine, want LeaseholderSet) {
	t.Helper()
	if got := m.State().Leaseholders; !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestLeaseholdersAreAddedAndRemoved(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, changeLeaseholders(1, 0, []Leaseholder{leaseholderB, leaseholderA}, nil), Accepted)
	applyAndCheck(t, m, changeLeaseholders(1, 1, []Leaseholder{leaseholderC}, []Leaseholder{leaseholderB}), Accepted)
	checkLeaseholders(t, m, LeaseholderSet{Epoch: 1, Revision: 2, Members: []Leaseholder{leaseholderA, leaseholderC}})
}

func TestNewGenerationReplacesTheFormer(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, changeLeaseholders(1, 0, []Leaseholder{leaseholderA, leaseholderB}, nil), Accepted)
	restarted := Leaseholder{Address: leaseholderA.Address, Generation: 9}
	applyAndCheck(t, m, changeLeaseholders(1, 1, []Leaseholder{restarted}, nil), Accepted)
	applyAndCheck(t, m, changeLeaseholders(1, 2, nil, []Leaseholder{leaseholderA}), Accepted) // the process was replaced: removes nothing
	checkLeaseholders(t, m, LeaseholderSet{Epoch: 1, Revision: 3, Members: []Leaseholder{restarted, leaseholderB}, Former: []Leaseholder{leaseholderA}})
}

func TestLeaseholdersChangeOnlyFromTheCurrentRevision(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, changeLeaseholders(2, 0, []Leaseholder{leaseholderA}, nil), Accepted)
	applyAndCheck(t, m, changeLeaseholders(2, 0, nil, []Leaseholder{leaseholderA}), VersionMismatch)
	applyAndCheck(t, m, changeLeaseholders(3, 0, nil, []Leaseholder{leaseholderA}), VersionMismatch)
	checkLeaseholders(t, m, LeaseholderSet{Epoch: 2, Revision: 1, Members: []Leaseholder{leaseholderA}})
}

func TestLaterAllocatorExcludesEarlierOnes(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, changeLeaseholders(2, 0, []Leaseholder{leaseholderA}, nil), Accepted)
	applyAndCheck(t, m, changeLeaseholders(3, 1, nil, nil), Accepted)
	applyAndCheck(t, m, changeLeaseholders(2, 1, []Leaseholder{leaseholderB}, nil), VersionMismatch)
	applyAndCheck(t, m, changeLeaseholders(2, 2, []Leaseholder{leaseholderB}, nil), VersionMismatch)
	checkLeaseholders(t, m, LeaseholderSet{Epoch: 3, Revision: 2, Members: []Leaseholder{leaseholderA}})
}

func TestSnapshotContainsTheLeaseholders(t *testing.T) {
	m := NewMachine()
	applyAndCheck(t, m, changeLeaseholders(2, 0, []Leaseholder{leaseholderA, leaseholderB, leaseholderC}, nil), Accepted)
	restored := NewMachine()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	checkLeaseholders(t, restored, m.State().Leaseholders)
}

func TestChangeLeaseholders(t *testing.T) {
	c := &Control{machine: NewMachine()}
	_, err := c.ChangeLeaseholders(t.Context(), &ChangeLeaseholders{})
	checkKind(t, err, fault.NotReady)
	replica := &fakeReplica{}
	c.service = newTestService(replica)
	c.machine = replica.machine
	set, err := c.ChangeLeaseholders(t.Context(), &ChangeLeaseholders{Epoch: 1, Add: []Leaseholder{leaseholderA}})
	if err != nil || len(set.Members) != 1 {
		t.Errorf("got %+v, %v; want one leaseholder", set, err)
	}
	_, err = c.ChangeLeaseholders(t.Context(), &ChangeLeaseholders{Epoch: 1})
	checkKind(t, err, fault.VersionConflict)
	replica.fail(fault.New(fault.Unclear, "lost"))
	_, err = c.ChangeLeaseholders(t.Context(), &ChangeLeaseholders{Epoch: 1, ExpectedRevision: 1})
	checkKind(t, err, fault.Unclear)
}

func TestReservesAreKeptAndSpent(t *testing.T) {
	m := NewMachine()
	change := func(revision uint64, spendAll bool, keep, spend []string, want ...string) {
		t.Helper()
		applyAndCheck(t, m, &Command{ChangeLeaseholders: &ChangeLeaseholders{
			Epoch: 1, ExpectedRevision: revision, SpendAll: spendAll, Keep: keep, Spend: spend,
		}}, Accepted)
		if got := m.State().Leaseholders.Reserves; !slices.Equal(got, want) {
			t.Errorf("revision %d: got reserves %v, want %v", revision, got, want)
		}
	}
	change(0, false, []string{"c", "a"}, nil, "a", "c")
	change(1, false, []string{"b", "a"}, []string{"c", "unknown"}, "a", "b")
	change(2, false, nil, nil, "a", "b")
	change(3, true, []string{"d"}, nil, "d")
	change(4, true, nil, nil)
}

// The last maxFormerPerAddress replaced processes of each address are remembered. Removed processes are not, as they may still
// be running and register again.
func TestReplacedLeaseholdersAreRemembered(t *testing.T) {
	m := NewMachine()
	at := leaseholderA.Address
	applyAndCheck(t, m, changeLeaseholders(1, 0, []Leaseholder{{at, 1}, leaseholderB}, nil), Accepted)
	for generation := uint64(2); generation <= maxFormerPerAddress+2; generation++ {
		applyAndCheck(t, m, changeLeaseholders(1, generation-1, []Leaseholder{{at, generation}}, nil), Accepted)
	}
	applyAndCheck(t, m, changeLeaseholders(1, maxFormerPerAddress+2, []Leaseholder{{at, maxFormerPerAddress + 2}}, []Leaseholder{leaseholderB}), Accepted)
	var want []Leaseholder
	for generation := uint64(2); generation < maxFormerPerAddress+2; generation++ {
		want = append(want, Leaseholder{at, generation})
	}
	if got := m.State().Leaseholders.Former; !slices.Equal(got, want) {
		t.Errorf("former leaseholders: got %v, want %v", got, want)
	}
}
