package control

import (
	"testing"
	"time"
)

func TestRetirementIsCompletedWhenTheStoreIsEmpty(t *testing.T) {
	f := newPlacementFixture(t, 4)
	f.run(10 * time.Second)
	s := f.newService(2)
	if _, err := s.Retire(t.Context(), "s-3", time.Minute); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		f.run(testStep)
		retirement, _ := f.machine.State().Retirement("s-3")
		if retirement.Completed && f.isPlaced("s-3") {
			t.Fatal("got a completed retirement of a store in the placement")
		}
	}
	retirement, _ := f.machine.State().Retirement("s-3")
	if !retirement.Completed {
		t.Fatal("got a retirement that is not completed")
	}
	f.checkViews(3)
	f.run(10 * time.Second)
	if f.isPlaced("s-3") {
		t.Error("got a retired store in the placement")
	}
}

func TestRetirementThatLeavesTwoStores(t *testing.T) {
	f := newPlacementFixture(t, 3)
	f.run(10 * time.Second)
	s := f.newService(2)
	if _, err := s.Retire(t.Context(), "s-3", time.Minute); err != nil {
		t.Fatal(err)
	}
	f.run(10 * time.Second)
	f.checkViews(2)
	if retirement, _ := f.machine.State().Retirement("s-3"); !retirement.Completed {
		t.Error("got a retirement that is not completed")
	}
}

func TestWipedStoreOfARetirementIsNotUsedAgain(t *testing.T) {
	f := newPlacementFixture(t, 4)
	f.run(10 * time.Second)
	applyAndCheck(t, f.machine, &Command{Retire: &Retire{
		Store: Store{"s-1", 101}, Stores: []Store{{"s-2", 102}, {"s-3", 103}}, Minimum: 2,
	}}, Accepted)
	f.members.find("s-1").Replica = 999
	f.run(20 * time.Second)
	if f.isPlaced("s-1") {
		t.Error("got a store that is being retired in the placement")
	}
	if retirement, _ := f.machine.State().Retirement("s-1"); !retirement.Completed || retirement.Store.Replica != 999 {
		t.Errorf("got %+v, want a completed retirement of replica 999", retirement)
	}
	f.members.find("s-1").Replica = 1000
	f.run(20 * time.Second)
	if f.machine.State().Retired(Store{"s-1", 1000}) {
		t.Error("got a new machine of the same name retired")
	}
}
