package placement

import (
	"fmt"
	"testing"
)

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
				t.Fatalf("got %d partitions, version %d; want %d, version 1", len(table.Partitions), table.Version, test.partitions)
			}
			for i, partition := range table.Partitions {
				v := partition.View
				if v.Chain != ChainOf(i) || v.Epoch != 1 || len(v.Members) != test.replicas || len(partition.Learners) > 0 {
					t.Fatalf("partition %d: got %+v, want epoch 1 with %d members and no learners", i, partition, test.replicas)
				}
			}
			checkZones(t, table, test.zones)
			if difference := countDifference(table, stores, isMember); difference > 1 {
				t.Errorf("got a difference of %d replicas, want at most 1", difference)
			}
			if difference := countDifference(table, stores, isHead); difference > 1 {
				t.Errorf("got a difference of %d heads, want at most 1", difference)
			}
			reportAll(table, stores)
			if _, changes := Next(table, stores, PolicyFor(test.tolerance)); len(changes) > 0 {
				t.Errorf("new table: got changes %v, want none", changes)
			}
		})
	}
}

func TestCreateWaitsForStores(t *testing.T) {
	stores := testStores(3, 3)
	stores[1].Alive = false
	stores[2].Replica = 0
	if _, _, ok := Create(stores, PolicyFor(1)); ok {
		t.Fatal("one eligible store: got a table, want none")
	}
}
