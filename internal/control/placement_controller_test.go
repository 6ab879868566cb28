package control

import (
	"testing"
	"time"

	"nickelline/internal/member"
	"nickelline/internal/view"
)

func TestFirstPlacementWaitsForTheStores(t *testing.T) {
	f := newPlacementFixture(t, 2)
	f.run(testStabilization)
	f.members.members = append(f.members.members, storeMember(3))
	f.run(testStabilization)
	if f.machine.State().PlacementVersion != 0 {
		t.Fatal("got a first placement while stores are starting")
	}
	f.run(2 * testStep)
	f.checkViews(3)
}

func TestOnlyTheHeadChangesThePlacement(t *testing.T) {
	f := newPlacementFixture(t, 3)
	for range 20 {
		f.report()
		f.controller.reconcile(t.Context(), f.now, false)
		f.now = f.now.Add(testStep)
	}
	if f.machine.State().PlacementVersion != 0 {
		t.Error("got a placement from a node that is not the head")
	}
}

func TestFailedStoreIsDroppedAndReplaced(t *testing.T) {
	f := newPlacementFixture(t, 4)
	f.run(10 * time.Second)
	f.checkViews(3)
	f.members.find("s-1").State = member.Dead
	f.run(10 * time.Second)
	f.checkViews(3)
	if f.isPlaced("s-1") {
		t.Error("got a failed store in the placement")
	}
}

func TestStoreWithoutReportsCountsAsFailed(t *testing.T) {
	f := newPlacementFixture(t, 4)
	f.run(10 * time.Second)
	f.notReporting["s-2"] = true
	f.run(testReportTimeout + 10*time.Second)
	if f.isPlaced("s-2") {
		t.Error("got a store without reports in the placement")
	}
}

func TestNewHeadWaitsForReports(t *testing.T) {
	f := newPlacementFixture(t, 3)
	f.run(10 * time.Second)
	version := f.machine.State().PlacementVersion
	f.controller = f.newHead(f.controller.propose)
	known := f.members.members
	f.members.members = nil
	for range 3 {
		f.controller.reconcile(t.Context(), f.now, true)
		f.now = f.now.Add(testStep)
	}
	if f.machine.State().PlacementVersion != version {
		t.Error("got a change by a head that does not know the stores")
	}
	f.members.members = known
	f.run(10 * time.Second)
	f.checkViews(3)
}

// A store lost its disk while all machines were down, and reports as a new replica. The new head does not wait for the old
// replica.
func TestNewHeadDoesNotWaitForAReplicaWhoseDiskWasLost(t *testing.T) {
	f := newPlacementFixture(t, 3)
	f.run(10 * time.Second)
	f.controller = f.newHead(f.controller.propose)
	lost := f.members.find("s-1").Replica
	f.members.find("s-1").Replica = 900
	f.run(2 * testStep)
	for _, partition := range f.table().Partitions {
		if partition.View.Has(view.ReplicaID(lost)) {
			t.Fatalf("chain %d: got a replica whose disk was lost", partition.View.Chain)
		}
	}
	f.run(10 * time.Second)
	f.checkViews(3)
}

// A returning store becomes the head of partitions again. While batch items are running, at most one head is moved per
// minInterruptInterval, as each move interrupts the items.
func TestBusyHeadsAreMovedOneByOne(t *testing.T) {
	f := newPlacementFixture(t, 3)
	f.run(10 * time.Second)
	f.running = 50
	f.notReporting = map[string]bool{"s-1": true}
	f.run(testReportTimeout + time.Second)
	if f.isPlaced("s-1") {
		t.Fatal("got a store without reports in the placement")
	}
	f.notReporting = nil
	f.run(minInterruptInterval / 2)
	most := 0
	for range 4 {
		before := f.headCount("s-1")
		f.run(minInterruptInterval)
		most = max(most, f.headCount("s-1")-before)
	}
	if most != 1 {
		t.Errorf("got %d heads with running items moved within %v, want 1", most, minInterruptInterval)
	}
	f.running = 0
	f.run(minInterruptInterval)
	if f.headCount("s-1") == 0 || f.headCount("s-2")-f.headCount("s-1") > 1 {
		t.Errorf("got %d and %d heads without running items, want them even", f.headCount("s-1"), f.headCount("s-2"))
	}
}
