package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"nickelline/internal/member"
	"nickelline/internal/placement"
)

// changeRandomStore fails, wipes, adds or retires a random store, or revives all. At most one store is down at a time.
func (f *placementFixture) changeRandomStore(random *rand.Rand) {
	store := &f.members.members[random.IntN(len(f.members.members))]
	switch random.IntN(12) {
	case 0:
		f.markAllAlive()
		store.State = member.Dead
	case 1:
		f.markAllAlive()
	case 2:
		f.markAllAlive()
		store.Replica = random.Uint64() | 1<<32
	case 3:
		if len(f.members.members) < 9 {
			f.members.members = append(f.members.members, storeMember(len(f.members.members)+1))
		}
	case 4:
		s := f.newService(3)
		_, _ = s.Retire(f.t.Context(), store.Name, time.Minute)
	}
}

func (f *placementFixture) markAllAlive() {
	for i := range f.members.members {
		f.members.members[i].State = member.Alive
	}
}

func (f *placementFixture) checkChange(seed uint64, before, after placement.Table) {
	f.t.Helper()
	for i, partition := range after.Partitions {
		v, last := partition.View, before.Partitions[i].View
		if len(v.Members) < 2 {
			f.t.Fatalf("seed %d: chain %d: got %d members, want at least 2", seed, v.Chain, len(v.Members))
		}
		if head, _ := v.Head(); v.Epoch == last.Epoch+1 && !last.Has(head.Replica) {
			f.t.Fatalf("seed %d: chain %d: got a head that was not in the view before", seed, v.Chain)
		}
		for _, m := range v.Members {
			if retirement, found := f.machine.State().Retirement(m.Name); found && retirement.Completed && retirement.Store.Replica == uint64(m.Replica) {
				f.t.Fatalf("seed %d: got %s in the placement after its completed retirement", seed, m.Name)
			}
		}
	}
}

// Stores fail, return, lose their disks, are added and retired at random. After each step, no view may be too small, each head
// must have been in the previous view of its partition, and no replica may be placed after its completed retirement.
func TestRandomPlacements(t *testing.T) {
	for seed := range uint64(8) {
		f := newPlacementFixture(t, 5)
		f.run(10 * time.Second)
		random := rand.New(rand.NewPCG(seed, 3))
		before := f.table()
		for range 150 {
			f.changeRandomStore(random)
			f.run(testStep)
			after := f.table()
			f.checkChange(seed, before, after)
			before = after
		}
		f.markAllAlive()
		f.run(30 * time.Second)
		for _, partition := range f.table().Partitions {
			if len(partition.View.Members) < 3 {
				t.Fatalf("seed %d: chain %d: got %d members in the end, want at least 3", seed, partition.View.Chain, len(partition.View.Members))
			}
		}
	}
}
