package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/member"
	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// fakeMembers is a table of members that a test changes.
type fakeMembers struct{ members []member.Member }

func (f *fakeMembers) Table() *member.Table { return member.NewTable(f.members...) }

func (f *fakeMembers) find(name string) *member.Member {
	for i := range f.members {
		if f.members[i].Name == name {
			return &f.members[i]
		}
	}
	return nil
}

func storeMember(number int) member.Member {
	return member.Member{
		Name:    fmt.Sprintf("s-%d", number),
		Role:    storeRole,
		Zone:    fmt.Sprintf("z-%d", number%3),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7662),
		Replica: uint64(100 + number),
	}
}

// placerFixture runs rounds of a placer whose stores do at once what the placement tells them.
type placerFixture struct {
	t       *testing.T
	machine *Machine
	members *fakeMembers
	placer  *placementController
	now     time.Time
	silent  map[string]bool
	running uint32 // items at each replica, as reported
}

const (
	testSettle  = 2 * time.Second
	testSilence = 5 * time.Second
	testStep    = 500 * time.Millisecond
)

func newPlacerFixture(t *testing.T, stores int) *placerFixture {
	f := &placerFixture{t: t, machine: NewMachine(), members: &fakeMembers{}, now: time.Now(), silent: map[string]bool{}}
	for number := range stores {
		f.members.members = append(f.members.members, storeMember(number+1))
	}
	replica := &fakeReplica{machine: f.machine}
	service := newService(replica, f.machine, fakeStores{}, 2)
	f.placer = f.newHead(service.propose)
	return f
}

// newHead makes the placer of a node that has just become head.
func (f *placerFixture) newHead(propose func(context.Context, *Command) (Result, error)) *placementController {
	return &placementController{
		machine: f.machine,
		members: f.members,
		reports: newReportStore(),
		policy:  placement.PolicyFor(1),
		timing:  placementTiming{stabilization: testSettle, reportTimeout: testSilence},
		propose: propose,
		log:     zap.NewNop(),
	}
}

func (f *placerFixture) table() placement.Table { return decodePlacement(f.machine.State()) }

// report lets each running store report that it is as far as the placement wants it to be.
func (f *placerFixture) report() {
	for _, m := range f.members.members {
		if m.Role != storeRole || !m.Running() || f.silent[m.Name] {
			continue
		}
		report := Report{Store: Store{m.Name, m.Replica}}
		for _, a := range f.table().AssignmentsOf(view.ReplicaID(m.Replica)) {
			report.Chains = append(report.Chains, ChainStatus{
				Chain: a.View.Chain, Epoch: a.View.Epoch, Complete: !a.Learner, CaughtUp: a.Learner, Running: f.running,
			})
		}
		f.placer.reports.put(report, f.now)
	}
}

// run makes rounds for a time.
func (f *placerFixture) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testStep) {
		f.report()
		f.placer.reconcile(f.t.Context(), f.now, true)
	}
}

// names tells whether the placement names a store.
func (f *placerFixture) names(store string) bool {
	for _, partition := range f.table().Partitions {
		for _, m := range partition.View.Members {
			if m.Name == store {
				return true
			}
		}
	}
	return false
}

func (f *placerFixture) checkViews(members int) {
	f.t.Helper()
	table := f.table()
	if len(table.Partitions) == 0 {
		f.t.Fatal("there is no placement")
	}
	for _, partition := range table.Partitions {
		if len(partition.View.Members) != members || len(partition.Learners) != 0 {
			f.t.Fatalf("%d members and %d learners in place of %d members", len(partition.View.Members), len(partition.Learners), members)
		}
	}
}

func TestFirstPlacementWaitsForTheStores(t *testing.T) {
	f := newPlacerFixture(t, 2)
	f.run(testSettle)
	f.members.members = append(f.members.members, storeMember(3))
	f.run(testSettle)
	if f.machine.State().PlacementVersion != 0 {
		t.Fatal("the first placement was made while stores came up")
	}
	f.run(2 * testStep)
	f.checkViews(3)
}

func TestNobodyButTheHeadPlaces(t *testing.T) {
	f := newPlacerFixture(t, 3)
	for range 20 {
		f.report()
		f.placer.reconcile(t.Context(), f.now, false)
		f.now = f.now.Add(testStep)
	}
	if f.machine.State().PlacementVersion != 0 {
		t.Error("a node that is not the head made a placement")
	}
}

func TestDeadStoreIsDroppedAndReplaced(t *testing.T) {
	f := newPlacerFixture(t, 4)
	f.run(10 * time.Second)
	f.checkViews(3)
	f.members.find("s-1").State = member.Dead
	f.run(10 * time.Second)
	f.checkViews(3)
	if f.names("s-1") {
		t.Error("a dead store is still placed")
	}
}

func TestSilentStoreIsTakenForDead(t *testing.T) {
	f := newPlacerFixture(t, 4)
	f.run(10 * time.Second)
	f.silent["s-2"] = true
	f.run(testSilence + 10*time.Second)
	if f.names("s-2") {
		t.Error("a store that reports nothing is still placed")
	}
}

func TestNewHeadChangesNothingBeforeItHasHeard(t *testing.T) {
	f := newPlacerFixture(t, 3)
	f.run(10 * time.Second)
	version := f.machine.State().PlacementVersion
	f.placer = f.newHead(f.placer.propose)
	known := f.members.members
	f.members.members = nil
	for range 3 {
		f.placer.reconcile(t.Context(), f.now, true)
		f.now = f.now.Add(testStep)
	}
	if f.machine.State().PlacementVersion != version {
		t.Error("a head that has not met the stores changed the placement")
	}
	f.members.members = known
	f.run(10 * time.Second)
	f.checkViews(3)
}

// A store that lost its disk while all machines were down answers for the replica that it was.
func TestNewHeadDoesNotWaitForAReplicaWhoseDiskWasLost(t *testing.T) {
	f := newPlacerFixture(t, 3)
	f.run(10 * time.Second)
	f.placer = f.newHead(f.placer.propose)
	lost := f.members.find("s-1").Replica
	f.members.find("s-1").Replica = 900
	f.run(2 * testStep)
	for _, partition := range f.table().Partitions {
		if partition.View.Has(view.ReplicaID(lost)) {
			t.Fatalf("partition %d keeps a replica whose disk was lost", partition.View.Chain)
		}
	}
	f.run(10 * time.Second)
	f.checkViews(3)
}

// heads counts the partitions that a store is head of.
func (f *placerFixture) heads(store string) (count int) {
	for _, partition := range f.table().Partitions {
		if partition.View.Members[0].Name == store {
			count++
		}
	}
	return count
}

// A store that returns gets heads again, but while items run one at a time, as each move interrupts them.
func TestBusyHeadsAreMovedOneByOne(t *testing.T) {
	f := newPlacerFixture(t, 3)
	f.run(10 * time.Second)
	f.running = 50
	f.silent = map[string]bool{"s-1": true}
	f.run(testSilence + time.Second)
	if f.names("s-1") {
		t.Fatal("a silent store is still placed")
	}
	f.silent = nil
	f.run(interruptInterval / 2)
	most := 0
	for range 4 {
		before := f.heads("s-1")
		f.run(interruptInterval)
		most = max(most, f.heads("s-1")-before)
	}
	if most != 1 {
		t.Errorf("%d busy heads are moved within %v, want 1", most, interruptInterval)
	}
	f.running = 0
	f.run(interruptInterval)
	if f.heads("s-1") == 0 || f.heads("s-2")-f.heads("s-1") > 1 {
		t.Errorf("idle heads stay uneven: %d and %d", f.heads("s-1"), f.heads("s-2"))
	}
}

func TestRetirementIsCompletedWhenTheStoreIsEmpty(t *testing.T) {
	f := newPlacerFixture(t, 4)
	f.run(10 * time.Second)
	directory := &storeDirectory{members: f.members, machine: f.machine, now: func() time.Time { return f.now }}
	s := newService(&fakeReplica{machine: f.machine}, f.machine, directory, 2)
	if _, err := s.Retire(t.Context(), "s-3", time.Minute); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		f.run(testStep)
		retirement, _ := f.machine.State().Retirement("s-3")
		if retirement.Completed && f.names("s-3") {
			t.Fatal("a store that is still placed counts as empty")
		}
	}
	retirement, _ := f.machine.State().Retirement("s-3")
	if !retirement.Completed {
		t.Fatal("the retirement is not completed")
	}
	f.checkViews(3)
	f.run(10 * time.Second)
	if f.names("s-3") {
		t.Error("a retired store is placed again")
	}
}

func TestRetirementThatLeavesTwo(t *testing.T) {
	f := newPlacerFixture(t, 3)
	f.run(10 * time.Second)
	directory := &storeDirectory{members: f.members, machine: f.machine, now: func() time.Time { return f.now }}
	s := newService(&fakeReplica{machine: f.machine}, f.machine, directory, 2)
	if _, err := s.Retire(t.Context(), "s-3", time.Minute); err != nil {
		t.Fatal(err)
	}
	f.run(10 * time.Second)
	f.checkViews(2)
	if retirement, _ := f.machine.State().Retirement("s-3"); !retirement.Completed {
		t.Error("the retirement is not completed")
	}
}

func TestWipedStoreOfARetirementIsNotUsedAgain(t *testing.T) {
	f := newPlacerFixture(t, 4)
	f.run(10 * time.Second)
	expect(t, f.machine, &Command{Retire: &Retire{
		Store: Store{"s-1", 101}, Stores: []Store{{"s-2", 102}, {"s-3", 103}}, Minimum: 2,
	}}, Accepted)
	f.members.find("s-1").Replica = 999
	f.run(20 * time.Second)
	if f.names("s-1") {
		t.Error("a store that is being retired is placed")
	}
	if retirement, _ := f.machine.State().Retirement("s-1"); !retirement.Completed || retirement.Store.Replica != 999 {
		t.Errorf("got %+v", retirement)
	}
	f.members.find("s-1").Replica = 1000
	f.run(20 * time.Second)
	if f.machine.State().Retired(Store{"s-1", 1000}) {
		t.Error("a new machine of that name is taken for retired")
	}
}

// TestRandomPlacements kills, revives, wipes, adds and retires stores at random, and checks after each round that no view
// is too small, that each view of a partition keeps a member of the one before, and that no completed retirement is undone.
func TestRandomPlacements(t *testing.T) {
	for seed := range uint64(8) {
		f := newPlacerFixture(t, 5)
		f.run(10 * time.Second)
		random := rand.New(rand.NewPCG(seed, 3))
		before := f.table()
		for range 150 {
			f.disturb(random)
			f.run(testStep)
			after := f.table()
			f.checkChange(seed, before, after)
			before = after
		}
		f.revive()
		f.run(30 * time.Second)
		for _, partition := range f.table().Partitions {
			if len(partition.View.Members) < 3 {
				t.Fatalf("seed %d: chain %d has %d members in the end", seed, partition.View.Chain, len(partition.View.Members))
			}
		}
	}
}

// disturb lets something happen to one store, at most one of them being down at a time.
func (f *placerFixture) disturb(random *rand.Rand) {
	store := &f.members.members[random.IntN(len(f.members.members))]
	switch random.IntN(12) {
	case 0:
		f.revive()
		store.State = member.Dead
	case 1:
		f.revive()
	case 2:
		f.revive()
		store.Replica = random.Uint64() | 1<<32
	case 3:
		if len(f.members.members) < 9 {
			f.members.members = append(f.members.members, storeMember(len(f.members.members)+1))
		}
	case 4:
		directory := &storeDirectory{members: f.members, machine: f.machine, now: func() time.Time { return f.now }}
		s := newService(&fakeReplica{machine: f.machine}, f.machine, directory, 3)
		_, _ = s.Retire(f.t.Context(), store.Name, time.Minute)
	}
}

func (f *placerFixture) revive() {
	for i := range f.members.members {
		f.members.members[i].State = member.Alive
	}
}

func (f *placerFixture) checkChange(seed uint64, before, after placement.Table) {
	f.t.Helper()
	for i, partition := range after.Partitions {
		v, last := partition.View, before.Partitions[i].View
		if len(v.Members) < 2 {
			f.t.Fatalf("seed %d: chain %d has %d members", seed, v.Chain, len(v.Members))
		}
		if head, _ := v.Head(); v.Epoch == last.Epoch+1 && !last.Has(head.Replica) {
			f.t.Fatalf("seed %d: chain %d has a head that was not in the view before", seed, v.Chain)
		}
		for _, m := range v.Members {
			if retirement, found := f.machine.State().Retirement(m.Name); found && retirement.Completed && retirement.Store.Replica == uint64(m.Replica) {
				f.t.Fatalf("seed %d: %s is placed after its retirement was completed", seed, m.Name)
			}
		}
	}
}

func TestStoreDirectory(t *testing.T) {
	f := newPlacerFixture(t, 3)
	f.run(10 * time.Second)
	f.members.members = append(f.members.members, member.Member{
		Name: "f-1", Role: "proxy", Address: netip.MustParseAddrPort("10.0.1.1:1"),
	})
	f.members.find("s-1").State = member.Dead
	f.members.find("s-2").Leaving = true
	f.members.members = append(f.members.members, storeMember(4), storeMember(5))
	f.members.find("s-4").State = member.Dead
	directory := &storeDirectory{members: f.members, machine: f.machine, completeFrom: f.now, now: func() time.Time { return f.now }}
	known, remaining, whole := directory.Stores()
	if len(known) != 5 || !whole {
		t.Errorf("known %v, %v", known, whole)
	}
	if got := fmt.Sprint(remaining); got != "[{s-1 101} {s-3 103} {s-5 105}]" {
		t.Errorf("remaining %v", got)
	}
	f.members.members = nil
	f.now = f.now.Add(-time.Second)
	known, remaining, whole = directory.Stores()
	if len(known) != 3 || len(remaining) != 0 || whole {
		t.Errorf("known %v, remaining %v, %v", known, remaining, whole)
	}
}
