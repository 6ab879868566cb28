package placement

import (
	"fmt"
	"testing"
)

// membersPerZone returns the number of members of a partition in each zone.
func membersPerZone(p Partition) map[string]int {
	counts := make(map[string]int)
	for _, member := range p.View.Members {
		counts[member.Zone]++
	}
	return counts
}

func concentratedPolicy(faultTolerance int) Policy {
	policy := PolicyFor(faultTolerance)
	policy.Concentrated = true
	return policy
}

func checkOneZone(t *testing.T, table Table) {
	t.Helper()
	for _, partition := range table.Partitions {
		if zones := membersPerZone(partition); len(zones) != 1 {
			t.Errorf("chain %d: got members in zones %v, want one zone", partition.View.Chain, zones)
		}
	}
}

func TestConcentratedPartitionsAreInOneZone(t *testing.T) {
	for _, test := range []struct{ stores, zones, tolerance int }{
		{stores: 14, zones: 3, tolerance: 2},
		{stores: 16, zones: 4, tolerance: 2},
		{stores: 400, zones: 8, tolerance: 2},
	} {
		t.Run(fmt.Sprint(test.stores, " stores"), func(t *testing.T) {
			stores := testStores(test.stores, test.zones)
			policy := concentratedPolicy(test.tolerance)
			table := mustCreate(t, stores, policy)
			checkOneZone(t, table)
			if difference := countDifference(table, stores, isHead); difference > 1 {
				t.Errorf("got a difference of %d heads, want at most 1", difference)
			}
			reportAll(table, stores)
			if _, changes := Next(table, stores, policy); len(changes) > 0 {
				t.Errorf("new table: got changes %v, want none", changes)
			}
		})
	}
}

// While a zone has too few stores, its partitions use stores of another zone too. Once its stores are back, each partition is in
// one zone again.
func TestConcentratedPartitionsReturnToTheirZone(t *testing.T) {
	stores := testStores(12, 3)
	policy := concentratedPolicy(2)
	table := mustCreate(t, stores, policy)
	stores[0].Alive, stores[3].Alive = false, false
	table = runUntilStable(t, table, stores, policy)
	for _, partition := range table.Partitions {
		if count := len(partition.View.Members); count != policy.ReplicationFactor {
			t.Errorf("chain %d: got %d members, want %d", partition.View.Chain, count, policy.ReplicationFactor)
		}
		if zones := membersPerZone(partition); len(zones) > 2 {
			t.Errorf("chain %d: got members in zones %v, want at most two zones", partition.View.Chain, zones)
		}
	}
	stores[0].Alive, stores[3].Alive = true, true
	table = runUntilStable(t, table, stores, policy)
	checkOneZone(t, table)
}

// If no zone has as many stores as a partition has replicas, the partition uses as few zones as possible.
func TestConcentratedPartitionsUseFewZones(t *testing.T) {
	stores := testStores(6, 3)
	policy := concentratedPolicy(1)
	table := runUntilStable(t, mustCreate(t, stores, policy), stores, policy)
	for _, partition := range table.Partitions {
		if zones := membersPerZone(partition); len(zones) > 2 || len(partition.View.Members) != policy.ReplicationFactor {
			t.Errorf("chain %d: got members in zones %v, want %d members in at most two", partition.View.Chain, zones, policy.ReplicationFactor)
		}
	}
}
