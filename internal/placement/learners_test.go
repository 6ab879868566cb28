package placement

import (
	"slices"
	"testing"

	"nickelline/internal/view"
)

func TestNewStoresAreUsedGradually(t *testing.T) {
	stores := testStores(6, 3)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy)
	stores = append(stores, testStore(6, 3), testStore(7, 3), testStore(8, 3))
	reportAll(table, stores)
	next, changes := Next(table, stores, policy)
	if len(changes) != DefaultConcurrentMoves {
		t.Fatalf("got changes %v, want %d", changes, DefaultConcurrentMoves)
	}
	if _, changes := Next(next, stores, policy); len(changes) > 0 {
		t.Fatalf("before the learners have caught up: got changes %v, want none", changes)
	}
	next = runUntilStable(t, next, stores, policy)
	checkZones(t, next, 3)
	if difference := countDifference(next, stores, isMember); difference > 1 {
		t.Errorf("got a difference of %d replicas, want at most 1", difference)
	}
	if difference := countDifference(next, stores, isHead); difference > 1 {
		t.Errorf("got a difference of %d heads, want at most 1", difference)
	}
}

func TestLearnerThatIsNotNeededIsRemoved(t *testing.T) {
	stores := testStores(4, 4)
	policy := PolicyFor(1)
	table := mustCreate(t, stores, policy).Clone()
	current := &table.Partitions[0]
	spare := slices.IndexFunc(stores, func(s Store) bool { return !current.View.Has(s.Replica) })
	current.Learners = []view.Member{stores[spare].Member}
	reportAll(table, stores)
	next, changes := Next(table, stores, policy)
	if partition := next.Partitions[0]; len(partition.Learners) > 0 || partition.View.Epoch != 1 {
		t.Fatalf("got partition %+v after changes %v, want epoch 1 without learners", partition, changes)
	}
}
