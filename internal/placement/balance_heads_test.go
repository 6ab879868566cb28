package placement

import "testing"

// setRunning sets the number of running items that the head of each partition reports.
func setRunning(table Table, stores []Store, running func(partition int) uint32) {
	for i := range stores {
		for n := range stores[i].Progress {
			progress := &stores[i].Progress[n]
			for number, partition := range table.Partitions {
				if partition.View.Chain == progress.Chain && isHead(partition, stores[i].Replica) {
					progress.Running = running(number)
				}
			}
		}
	}
}

// unevenHeads returns a table in which one of three stores is the head of no partition.
func unevenHeads(t *testing.T) (Table, []Store) {
	t.Helper()
	stores := testStores(3, 3)
	table := mustCreate(t, stores, PolicyFor(1))
	idle := stores[2].Replica
	for i := range table.Partitions {
		members := table.Partitions[i].View.Members
		if members[0].Replica == idle {
			members[0], members[1] = members[1], members[0]
		}
	}
	reportAll(table, stores)
	return table, stores
}

// movedHeads returns the partitions whose heads differ.
func movedHeads(before, after Table) (partitions []int) {
	for i := range after.Partitions {
		if before.Partitions[i].View.Members[0].Replica != after.Partitions[i].View.Members[0].Replica {
			partitions = append(partitions, i)
		}
	}
	return partitions
}

func TestHeadsWithRunningItemsAreNotMoved(t *testing.T) {
	table, stores := unevenHeads(t)
	setRunning(table, stores, func(int) uint32 { return 100 })
	if next, changes := Next(table, stores, PolicyFor(1)); len(changes) > 0 {
		t.Errorf("got the heads of partitions %v moved while items run there, want none", movedHeads(table, next))
	}
}

func TestIdleHeadsAreMoved(t *testing.T) {
	table, stores := unevenHeads(t)
	idle := -1
	setRunning(table, stores, func(partition int) uint32 {
		if idle < 0 {
			idle = partition
		}
		if partition == idle {
			return 0
		}
		return 100
	})
	next, _ := Next(table, stores, PolicyFor(1))
	if moved := movedHeads(table, next); len(moved) != 1 || moved[0] != idle {
		t.Errorf("got the heads of partitions %v moved, want only that of %d, where no items run", moved, idle)
	}
}

func TestOneHeadWithRunningItemsIsMovedIfAllowed(t *testing.T) {
	table, stores := unevenHeads(t)
	setRunning(table, stores, func(partition int) uint32 { return uint32(100 - partition) })
	policy := PolicyFor(1)
	policy.MayInterrupt = true
	next, _ := Next(table, stores, policy)
	moved := movedHeads(table, next)
	if len(moved) != 1 {
		t.Fatalf("got the heads of partitions %v moved, want one", moved)
	}
	p := newPlan(table, stores, policy)
	p.countAssignments()
	for i := range table.Partitions {
		if p.runningItems(i) < p.runningItems(moved[0]) && p.heads[p.headStore(i)] >= p.heads[p.headStore(moved[0])] {
			t.Errorf("got the head of partition %d with %d items moved, want that of %d with %d", moved[0], p.runningItems(moved[0]), i, p.runningItems(i))
		}
	}
}
