package placement

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"nickelline/internal/fault"
	"nickelline/internal/view"
)

func testStore(number, zones int) Store {
	return Store{
		Member: view.Member{
			Replica: view.ReplicaID(1000 + number),
			Name:    fmt.Sprintf("store-%03d", number),
			Zone:    fmt.Sprintf("zone-%d", number%zones),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7662),
		},
		Alive: true,
	}
}

func testStores(count, zones int) []Store {
	stores := make([]Store, count)
	for i := range stores {
		stores[i] = testStore(i, zones)
	}
	return stores
}

// settle has all stores report that they know the table, and are complete or have caught up.
func settle(table Table, stores []Store) {
	for i := range stores {
		stores[i].Progress = nil
		for _, assignment := range table.AssignmentsOf(stores[i].Replica) {
			stores[i].Progress = append(stores[i].Progress, Progress{
				Chain:    assignment.View.Chain,
				Epoch:    assignment.View.Epoch,
				Complete: !assignment.Learner,
				CaughtUp: assignment.Learner,
			})
		}
	}
}

func mustCreate(t testing.TB, stores []Store, policy Policy) Table {
	t.Helper()
	table, _, ok := Create(stores, policy)
	if !ok {
		t.Fatal("no table was made")
	}
	return table
}

// runUntilCalm applies Next until it changes nothing, with all stores reporting at once.
func runUntilCalm(t testing.TB, table Table, stores []Store, policy Policy) Table {
	t.Helper()
	for range 10000 {
		settle(table, stores)
		next, changes := Next(table, stores, policy)
		if len(changes) == 0 {
			return table
		}
		table = next
	}
	t.Fatal("the table does not come to rest")
	return table
}

// spread gives the difference between the stores with the most and the fewest of what is counted.
func spread(table Table, stores []Store, count func(Partition, view.ReplicaID) bool) int {
	lowest, highest := len(table.Partitions), 0
	for i := range stores {
		if !stores[i].isEligible() {
			continue
		}
		number := 0
		for _, partition := range table.Partitions {
			if count(partition, stores[i].Replica) {
				number++
			}
		}
		lowest, highest = min(lowest, number), max(highest, number)
	}
	return highest - lowest
}

func isMember(p Partition, replica view.ReplicaID) bool { return p.View.Has(replica) }

func isHead(p Partition, replica view.ReplicaID) bool { return p.View.Index(replica) == 0 }

func checkZones(t *testing.T, table Table, zones int) {
	t.Helper()
	for _, partition := range table.Partitions {
		counts := make(map[string]int)
		most := 0
		for _, member := range partition.View.Members {
			counts[member.Zone]++
			most = max(most, counts[member.Zone])
		}
		if allowed := (len(partition.View.Members) + zones - 1) / zones; most > allowed {
			t.Errorf("chain %d has %d members in a zone", partition.View.Chain, most)
		}
	}
}

func TestCreate(t *testing.T) {
	for _, test := range []struct{ stores, zones, tolerance, partitions, replicas int }{
		{stores: 2, zones: 2, tolerance: 1, partitions: 4, replicas: 2},
		{stores: 3, zones: 3, tolerance: 1, partitions: 6, replicas: 3},
		{stores: 14, zones: 3, tolerance: 2, partitions: 28, replicas: 4},
		{stores: 400, zones: 8, tolerance: 2, partitions: 512, replicas: 4},
	} {
		t.Run(fmt.Sprint(test.stores, " stores"), func(t *testing.T) {
			stores := testStores(test.stores, test.zones)
			table := mustCreate(t, stores, PolicyFor(test.tolerance))
			if len(table.Partitions) != test.partitions || table.Version != 1 {
				t.Fatalf("%d partitions, version %d", len(table.Partitions), table.Version)
			}
			for i, partition := range table.Partitions {
				v := partition.View
				if v.Chain != ChainOf(i) || v.Epoch != 1 || len(v.Members) != test.replicas || len(partition.Learners) > 0 {
					t.Fatalf("partition %d is %+v", i, partition)
				}
			}
			checkZones(t, table, test.zones)
			if difference := spread(table, stores, isMember); difference > 1 {
				t.Errorf("replicas differ by %d", difference)
			}
			if difference := spread(table, stores, isHead); difference > 1 {
				t.Errorf("heads differ by %d", difference)
			}
			settle(table, stores)
			if _, changes := Next(table, stores, PolicyFor(test.tolerance)); len(changes) > 0 {
				t.Errorf("a new table is changed: %v", changes)
			}
		})
	}
}

func TestCreateWaitsForStores(t *testing.T) {
	stores := testStores(3, 3)
	stores[1].Alive = false
	stores[2].Replica = 0
	if _, _, ok := Create(stores, PolicyFor(1)); ok {
		t.Fatal("a table was made for one store")
	}
}

func TestNextDoesNotDependOnTheOrderOfStores(t *testing.T) {
	stores := testStores(14, 3)
	table := mustCreate(t, stores, PolicyFor(2))
	settle(table, stores)
	stores[4].Alive = false
	want, wantChanges := Next(table, stores, PolicyFor(2))
	slices.Reverse(stores)
	got, gotChanges := Next(table, stores, PolicyFor(2))
	if !got.Equal(want) || !reflect.DeepEqual(gotChanges, wantChanges) {
		t.Fatal("the tables differ")
	}
}

func TestDeadMemberIsDroppedThenReplaced(t *testing.T) {
	stores := testStores(4, 4)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy)
	settle(table, stores)
	lost := table.Partitions[0].View.Members[0].Replica
	dead := slices.IndexFunc(stores, func(s Store) bool { return s.Replica == lost })
	stores[dead].Alive = false

	next, _ := Next(table, stores, policy)
	v := next.Partitions[0].View
	if v.Epoch != 2 || len(v.Members) != 2 || v.Has(lost) {
		t.Fatalf("the view is %+v", v)
	}
	settle(next, stores)
	next, _ = Next(next, stores, policy)
	if partition := next.Partitions[0]; partition.View.Epoch != 2 || len(partition.Learners) != 1 {
		t.Fatalf("the partition is %+v", partition)
	}
	settle(next, stores)
	next, _ = Next(next, stores, policy)
	partition := next.Partitions[0]
	if partition.View.Epoch != 3 || len(partition.View.Members) != 3 || len(partition.Learners) > 0 {
		t.Fatalf("the partition is %+v", partition)
	}
	if tail, _ := partition.View.Tail(); tail.Joined != 3 {
		t.Fatalf("the new member joined in epoch %d", tail.Joined)
	}
}

func TestViewIsNotShrunkBelowTheLeastNumber(t *testing.T) {
	stores := testStores(2, 2)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy)
	settle(table, stores)
	stores[0].Alive = false
	if _, changes := Next(table, stores, policy); len(changes) > 0 {
		t.Fatalf("changes: %v", changes)
	}

	stores = append(stores, testStore(2, 3))
	settle(table, stores)
	next, _ := Next(table, stores, policy)
	settle(next, stores)
	// The lost store may hold the second copy of what was committed until the new one is complete.
	next, _ = Next(next, stores, policy)
	for _, partition := range next.Partitions {
		v := partition.View
		tail, _ := v.Tail()
		if v.Epoch != 2 || len(v.Members) != 3 || v.Index(stores[2].Replica) != 1 || tail.Replica != stores[0].Replica {
			t.Fatalf("the view is %+v", v)
		}
	}
	settle(next, stores)
	next, _ = Next(next, stores, policy)
	for _, partition := range next.Partitions {
		if v := partition.View; v.Epoch != 3 || len(v.Members) != 2 || v.Has(stores[0].Replica) || !v.Has(stores[2].Replica) {
			t.Fatalf("the view is %+v", v)
		}
	}
}

func TestNothingChangesBeforeAllHaveReported(t *testing.T) {
	stores := testStores(4, 4)
	table := mustCreate(t, stores, PolicyFor(1))
	settle(table, stores)
	stores[0].Alive = false
	stores[1].Progress = nil
	next, _ := Next(table, stores, PolicyFor(1))
	for i, partition := range next.Partitions {
		silent := table.Partitions[i].View.Has(stores[1].Replica)
		if changed := !partition.Equal(table.Partitions[i]); silent && changed {
			t.Errorf("chain %d was changed", partition.View.Chain)
		}
	}
}

func TestWipedStoreIsANewReplica(t *testing.T) {
	stores := testStores(3, 3)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy)
	settle(table, stores)
	old := stores[1].Replica
	stores[1].Replica = 77
	stores[1].Progress = nil
	next, _ := Next(table, stores, policy)
	for _, partition := range next.Partitions {
		if partition.View.Has(old) || partition.View.Has(77) {
			t.Fatalf("the view is %+v", partition.View)
		}
	}
	next = runUntilCalm(t, next, stores, policy)
	for _, partition := range next.Partitions {
		if !partition.View.Has(77) || len(partition.View.Members) != 3 {
			t.Fatalf("the view is %+v", partition.View)
		}
	}
	if difference := spread(next, stores, isHead); difference > 1 {
		t.Errorf("heads differ by %d", difference)
	}
}

func TestLeavingStoreHandsOver(t *testing.T) {
	stores := testStores(3, 3)
	table := mustCreate(t, stores, PolicyFor(1))
	settle(table, stores)
	stores[0].Leaving = true
	next, _ := Next(table, stores, PolicyFor(1))
	for _, partition := range next.Partitions {
		if partition.View.Has(stores[0].Replica) || len(partition.View.Members) != 2 {
			t.Fatalf("the view is %+v", partition.View)
		}
	}
}

func TestNewStoresAreUsedGradually(t *testing.T) {
	stores := testStores(6, 3)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy)
	stores = append(stores, testStore(6, 3), testStore(7, 3), testStore(8, 3))
	settle(table, stores)
	next, changes := Next(table, stores, policy)
	if len(changes) != DefaultConcurrentMoves {
		t.Fatalf("changes: %v", changes)
	}
	if _, changes := Next(next, stores, policy); len(changes) > 0 {
		t.Fatalf("changes before the learners have caught up: %v", changes)
	}
	next = runUntilCalm(t, next, stores, policy)
	checkZones(t, next, 3)
	if difference := spread(next, stores, isMember); difference > 1 {
		t.Errorf("replicas differ by %d", difference)
	}
	if difference := spread(next, stores, isHead); difference > 1 {
		t.Errorf("heads differ by %d", difference)
	}
}

func TestLearnerThatIsNotNeededIsRemoved(t *testing.T) {
	stores := testStores(4, 4)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy).Clone()
	current := &table.Partitions[0]
	spare := slices.IndexFunc(stores, func(s Store) bool { return !current.View.Has(s.Replica) })
	current.Learners = []view.Member{stores[spare].Member}
	settle(table, stores)
	next, changes := Next(table, stores, policy)
	if partition := next.Partitions[0]; len(partition.Learners) > 0 || partition.View.Epoch != 1 {
		t.Fatalf("changes: %v", changes)
	}
}

func TestExcessIsDroppedOnlyWhereEnoughStay(t *testing.T) {
	stores := testStores(4, 1)
	stores[3].Zone = "other zone"
	var members []view.Member
	for i := range 3 {
		members = append(members, stores[i].Member)
	}
	// The learner is to replace one of the members, and is not a member yet.
	table := Table{Version: 1, Partitions: []Partition{{
		View:     view.View{Chain: 1, Epoch: 1, Members: members},
		Learners: []view.Member{stores[3].Member},
	}}}
	settle(table, stores)
	stores[3].Progress[0].CaughtUp = false
	next, changes := Next(table, stores, Policy{MinimumReplicas: 2, ReplicationFactor: 2})
	if len(changes) > 0 {
		t.Fatalf("%v: %+v", changes, next.Partitions[0])
	}
	stores[3].Progress[0].CaughtUp = true
	next = runUntilCalm(t, table, stores, Policy{MinimumReplicas: 2, ReplicationFactor: 2})
	if v := next.Partitions[0].View; len(v.Members) != 2 || !v.Has(stores[3].Replica) {
		t.Fatalf("the view is %+v", v)
	}
}

func TestRetiringStoreIsEmptied(t *testing.T) {
	for _, count := range []int{3, 4, 14} {
		t.Run(fmt.Sprint(count, " stores"), func(t *testing.T) {
			stores := testStores(count, 3)
			policy := PolicyFor(1)
			table := mustCreate(t, stores, policy)
			if err := CheckRetire(stores, stores[1].Name, policy); err != nil {
				t.Fatal(err)
			}
			stores[1].Retiring = true
			settle(table, stores)
			if CanRemove(table, stores, stores[1].Replica, policy) {
				t.Fatal("the store counts as emptied at the start")
			}
			next := runUntilCalm(t, table, stores, policy)
			if next.Names(stores[1].Replica) {
				t.Fatal("the store is not empty")
			}
			if !CanRemove(next, stores, stores[1].Replica, policy) {
				t.Fatal("the store does not count as emptied")
			}
			stores[2].Progress[0].Epoch--
			if CanRemove(next, stores, stores[1].Replica, policy) {
				t.Fatal("the store counts as emptied though a member does not know the view")
			}
			stores[2].Progress = nil
			if CanRemove(next, stores, stores[1].Replica, policy) {
				t.Fatal("the store counts as emptied though a replica elsewhere is not complete")
			}
		})
	}
}

func TestCheckRetire(t *testing.T) {
	stores := testStores(3, 3)
	if err := CheckRetire(stores, "unknown", PolicyFor(1)); fault.KindOf(err) != fault.NotFound {
		t.Errorf("an unknown store gives %v", err)
	}
	stores[2].Retiring = true
	if err := CheckRetire(stores, stores[0].Name, PolicyFor(1)); fault.KindOf(err) != fault.Conflict {
		t.Errorf("too few stores give %v", err)
	}
	if err := CheckRetire(stores, stores[2].Name, PolicyFor(1)); err != nil {
		t.Errorf("a store that is being retired gives %v", err)
	}
}

func TestPartitionOf(t *testing.T) {
	if got := (Table{}).PartitionOf("tenant"); got != -1 {
		t.Errorf("without partitions: %d", got)
	}
	table := mustCreate(t, testStores(3, 3), PolicyFor(1))
	counts := make([]int, len(table.Partitions))
	for i := range 6000 {
		counts[table.PartitionOf(fmt.Sprintf("tenant-%d", i))]++
	}
	if lowest := slices.Min(counts); lowest < 900 {
		t.Errorf("tenants per partition: %v", counts)
	}
	// The partition of a tenant must never change: its jobs lie there.
	for tenant, want := range map[string]int{"huka270": 4, "tenant-1": 0, "": 2} {
		if got := table.PartitionOf(tenant); got != want {
			t.Errorf("%q is in partition %d, not %d", tenant, got, want)
		}
	}
}

func TestCodec(t *testing.T) {
	stores := testStores(14, 3)
	table := mustCreate(t, stores, PolicyFor(2))
	settle(table, stores)
	stores[3].Alive = false
	table, _ = Next(table, stores, PolicyFor(2))
	settle(table, stores)
	table, _ = Next(table, stores, PolicyFor(2))
	data, err := Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !got.Equal(table) {
		t.Fatalf("read %+v", got)
	}
	if empty, err := Decode(nil); err != nil || len(empty.Partitions) > 0 || empty.Version != 0 {
		t.Errorf("nothing is read as %+v: %v", empty, err)
	}
	if _, err := Decode(data[:len(data)/2]); err == nil {
		t.Error("half a message was read")
	}
}
