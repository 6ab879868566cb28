package placement

import (
	"fmt"
	"net/netip"
	"testing"

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

// reportAll sets the progress of all stores: they know the views of the table, members are complete and learners caught up.
func reportAll(table Table, stores []Store) {
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
		t.Fatal("Create: got no table, want one")
	}
	return table
}

// runUntilStable applies Next until it changes nothing. All stores report the progress that they need at each step.
func runUntilStable(t testing.TB, table Table, stores []Store, policy Policy) Table {
	t.Helper()
	for range 10000 {
		reportAll(table, stores)
		next, changes := Next(table, stores, policy)
		if len(changes) == 0 {
			return table
		}
		table = next
	}
	t.Fatal("got changes in each of 10000 steps, want a stable table")
	return table
}

// countDifference counts, for each eligible store, the partitions for which count is true, and returns the difference between
// the highest and the lowest number.
func countDifference(table Table, stores []Store, count func(Partition, view.ReplicaID) bool) int {
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

// checkZones checks that no zone has more members of a partition than an even spread over the zones gives.
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
			t.Errorf("chain %d: got %d members in a zone, want at most %d", partition.View.Chain, most, allowed)
		}
	}
}
