package placement

import (
	"fmt"
	"testing"

	"nickelline/internal/fault"
)

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
			reportAll(table, stores)
			if CanRemove(table, stores, stores[1].Replica, policy) {
				t.Fatal("CanRemove before the store is emptied: got true, want false")
			}
			next := runUntilStable(t, table, stores, policy)
			if next.References(stores[1].Replica) {
				t.Fatal("got the retiring store in the stable table, want it dropped from all partitions")
			}
			if !CanRemove(next, stores, stores[1].Replica, policy) {
				t.Fatal("CanRemove after the store is emptied: got false, want true")
			}
			stores[2].Progress[0].Epoch--
			if CanRemove(next, stores, stores[1].Replica, policy) {
				t.Fatal("CanRemove while a member does not know the view: got true, want false")
			}
			stores[2].Progress = nil
			if CanRemove(next, stores, stores[1].Replica, policy) {
				t.Fatal("CanRemove while a replica on another store is not complete: got true, want false")
			}
		})
	}
}

func TestCheckRetire(t *testing.T) {
	stores := testStores(3, 3)
	if err := CheckRetire(stores, "unknown", PolicyFor(1)); fault.KindOf(err) != fault.NotFound {
		t.Errorf("unknown store: got %v, want kind NotFound", err)
	}
	stores[2].Retiring = true
	if err := CheckRetire(stores, stores[0].Name, PolicyFor(1)); fault.KindOf(err) != fault.Conflict {
		t.Errorf("too few stores: got %v, want kind Conflict", err)
	}
	if err := CheckRetire(stores, stores[2].Name, PolicyFor(1)); err != nil {
		t.Errorf("store that is being retired: got %v, want no error", err)
	}
}
