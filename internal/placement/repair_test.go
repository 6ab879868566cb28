package placement

import (
	"slices"
	"testing"

	"nickelline/internal/view"
)

func TestFailedMemberIsDroppedThenReplaced(t *testing.T) {
	stores := testStores(4, 4)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy)
	reportAll(table, stores)
	lost := table.Partitions[0].View.Members[0].Replica
	dead := slices.IndexFunc(stores, func(s Store) bool { return s.Replica == lost })
	stores[dead].Alive = false

	next, _ := Next(table, stores, policy)
	v := next.Partitions[0].View
	if v.Epoch != 2 || len(v.Members) != 2 || v.Has(lost) {
		t.Fatalf("got view %+v, want epoch 2 with two members and without the dead one", v)
	}
	reportAll(next, stores)
	next, _ = Next(next, stores, policy)
	if partition := next.Partitions[0]; partition.View.Epoch != 2 || len(partition.Learners) != 1 {
		t.Fatalf("got partition %+v, want epoch 2 with one learner", partition)
	}
	reportAll(next, stores)
	next, _ = Next(next, stores, policy)
	partition := next.Partitions[0]
	if partition.View.Epoch != 3 || len(partition.View.Members) != 3 || len(partition.Learners) > 0 {
		t.Fatalf("got partition %+v, want epoch 3 with three members and no learners", partition)
	}
	if tail, _ := partition.View.Tail(); tail.Joined != 3 {
		t.Fatalf("got epoch of joining %d, want 3", tail.Joined)
	}
}

func TestViewIsNotShrunkBelowTheMinimum(t *testing.T) {
	stores := testStores(2, 2)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy)
	reportAll(table, stores)
	stores[0].Alive = false
	if _, changes := Next(table, stores, policy); len(changes) > 0 {
		t.Fatalf("got changes %v, want none", changes)
	}

	stores = append(stores, testStore(2, 3))
	reportAll(table, stores)
	next, _ := Next(table, stores, policy)
	reportAll(next, stores)
	// Until the new member is complete, the dead store may hold the second copy of committed entries, and stays a member.
	next, _ = Next(next, stores, policy)
	for _, partition := range next.Partitions {
		v := partition.View
		tail, _ := v.Tail()
		if v.Epoch != 2 || len(v.Members) != 3 || v.Index(stores[2].Replica) != 1 || tail.Replica != stores[0].Replica {
			t.Fatalf("got view %+v, want epoch 2 with the new store second and the dead store at the tail", v)
		}
	}
	reportAll(next, stores)
	next, _ = Next(next, stores, policy)
	for _, partition := range next.Partitions {
		if v := partition.View; v.Epoch != 3 || len(v.Members) != 2 || v.Has(stores[0].Replica) || !v.Has(stores[2].Replica) {
			t.Fatalf("got view %+v, want epoch 3 with the new store and without the dead one", v)
		}
	}
}

func TestWipedStoreBecomesANewReplica(t *testing.T) {
	stores := testStores(3, 3)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy)
	reportAll(table, stores)
	old := stores[1].Replica
	stores[1].Replica = 77
	stores[1].Progress = nil
	next, _ := Next(table, stores, policy)
	for _, partition := range next.Partitions {
		if partition.View.Has(old) || partition.View.Has(77) {
			t.Fatalf("got view %+v, want neither the lost replica nor the new one", partition.View)
		}
	}
	next = runUntilStable(t, next, stores, policy)
	for _, partition := range next.Partitions {
		if !partition.View.Has(77) || len(partition.View.Members) != 3 {
			t.Fatalf("got view %+v, want three members with the new replica", partition.View)
		}
	}
	if difference := countDifference(next, stores, isHead); difference > 1 {
		t.Errorf("got a difference of %d heads, want at most 1", difference)
	}
}

func TestLeavingStoreIsDropped(t *testing.T) {
	stores := testStores(3, 3)
	table := mustCreate(t, stores, PolicyFor(1))
	reportAll(table, stores)
	stores[0].Leaving = true
	next, _ := Next(table, stores, PolicyFor(1))
	for _, partition := range next.Partitions {
		if partition.View.Has(stores[0].Replica) || len(partition.View.Members) != 2 {
			t.Fatalf("got view %+v, want two members without the leaving store", partition.View)
		}
	}
}

func TestExcessMembersAreDroppedOnlyIfEnoughRemain(t *testing.T) {
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
	reportAll(table, stores)
	stores[3].Progress[0].CaughtUp = false
	next, changes := Next(table, stores, Policy{MinimumReplicas: 2, ReplicationFactor: 2})
	if len(changes) > 0 {
		t.Fatalf("got changes %v and partition %+v, want no changes", changes, next.Partitions[0])
	}
	stores[3].Progress[0].CaughtUp = true
	next = runUntilStable(t, table, stores, Policy{MinimumReplicas: 2, ReplicationFactor: 2})
	if v := next.Partitions[0].View; len(v.Members) != 2 || !v.Has(stores[3].Replica) {
		t.Fatalf("got view %+v, want two members with the former learner", v)
	}
}
