package placement

import (
	"reflect"
	"slices"
	"testing"
)

func TestNextDoesNotDependOnTheOrderOfStores(t *testing.T) {
	stores := testStores(14, 3)
	table := mustCreate(t, stores, PolicyFor(2))
	reportAll(table, stores)
	stores[4].Alive = false
	want, wantChanges := Next(table, stores, PolicyFor(2))
	slices.Reverse(stores)
	got, gotChanges := Next(table, stores, PolicyFor(2))
	if !got.Equal(want) || !reflect.DeepEqual(gotChanges, wantChanges) {
		t.Fatalf("got %+v, %v with the stores reversed; want %+v, %v", got, gotChanges, want, wantChanges)
	}
}

func TestNothingChangesBeforeAllMembersReport(t *testing.T) {
	stores := testStores(4, 4)
	table := mustCreate(t, stores, PolicyFor(1))
	reportAll(table, stores)
	stores[0].Alive = false
	stores[1].Progress = nil
	next, _ := Next(table, stores, PolicyFor(1))
	for i, partition := range next.Partitions {
		hasUnreported := table.Partitions[i].View.Has(stores[1].Replica)
		if changed := !partition.Equal(table.Partitions[i]); hasUnreported && changed {
			t.Errorf("chain %d: got a change before all members have reported", partition.View.Chain)
		}
	}
}
