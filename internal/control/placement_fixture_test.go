package control

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/member"
	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// fakeMembers is a table of members that a test can change.
type fakeMembers struct{ members []member.Member }

func (f *fakeMembers) Table() *member.Table { return member.NewTable(f.members...) }

func (f *fakeMembers) find(name string) *member.Member {
	for i := range f.members {
		if f.members[i].Name == name {
			return &f.members[i]
		}
	}
	return nil
}

func storeMember(number int) member.Member {
	return member.Member{
		Name:    fmt.Sprintf("s-%d", number),
		Role:    storeRole,
		Zone:    fmt.Sprintf("z-%d", number%3),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7662),
		Replica: uint64(100 + number),
	}
}

// placementFixture runs a placementController with simulated stores that apply each placement at once.
type placementFixture struct {
	t            *testing.T
	machine      *Machine
	members      *fakeMembers
	controller   *placementController
	now          time.Time
	notReporting map[string]bool
	running      uint32 // batch items at each replica, as reported
}

const (
	testStabilization = 2 * time.Second
	testReportTimeout = 5 * time.Second
	testStep          = 500 * time.Millisecond
)

func newPlacementFixture(t *testing.T, stores int) *placementFixture {
	f := &placementFixture{t: t, machine: NewMachine(), members: &fakeMembers{}, now: time.Now(), notReporting: map[string]bool{}}
	for number := range stores {
		f.members.members = append(f.members.members, storeMember(number+1))
	}
	replica := &fakeReplica{machine: f.machine}
	service := newService(replica, f.machine, fakeStores{}, 2)
	f.controller = f.newHead(service.propose)
	return f
}

// newHead returns the controller of a node that has just become head.
func (f *placementFixture) newHead(propose func(context.Context, *Command) (Result, error)) *placementController {
	return &placementController{
		machine: f.machine,
		members: f.members,
		reports: newReportStore(),
		policy:  placement.PolicyFor(1),
		timing:  placementTiming{stabilization: testStabilization, reportTimeout: testReportTimeout},
		propose: propose,
		log:     zap.NewNop(),
	}
}

func (f *placementFixture) table() placement.Table { return decodePlacement(f.machine.State()) }

// report has each running store report that it has applied the placement.
func (f *placementFixture) report() {
	for _, m := range f.members.members {
		if m.Role != storeRole || !m.Running() || f.notReporting[m.Name] {
			continue
		}
		report := Report{Store: Store{m.Name, m.Replica}}
		for _, a := range f.table().AssignmentsOf(view.ReplicaID(m.Replica)) {
			report.Chains = append(report.Chains, ChainStatus{
				Chain: a.View.Chain, Epoch: a.View.Epoch, Complete: !a.Learner, CaughtUp: a.Learner, Running: f.running,
			})
		}
		f.controller.reports.put(report, f.now)
	}
}

// run advances the clock by a duration, and reconciles at each step of it.
func (f *placementFixture) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testStep) {
		f.report()
		f.controller.reconcile(f.t.Context(), f.now, true)
	}
}

// isPlaced reports whether the placement names a store.
func (f *placementFixture) isPlaced(store string) bool {
	for _, partition := range f.table().Partitions {
		for _, m := range partition.View.Members {
			if m.Name == store {
				return true
			}
		}
	}
	return false
}

func (f *placementFixture) checkViews(members int) {
	f.t.Helper()
	table := f.table()
	if len(table.Partitions) == 0 {
		f.t.Fatal("got no placement")
	}
	for _, partition := range table.Partitions {
		if len(partition.View.Members) != members || len(partition.Learners) != 0 {
			f.t.Fatalf("got %d members and %d learners, want %d members", len(partition.View.Members), len(partition.Learners), members)
		}
	}
}

// headCount returns the number of partitions of which a store is the head.
func (f *placementFixture) headCount(store string) (count int) {
	for _, partition := range f.table().Partitions {
		if partition.View.Members[0].Name == store {
			count++
		}
	}
	return count
}

// newStoreDirectory returns a directory of the fixture's stores that uses the fixture's clock.
func (f *placementFixture) newStoreDirectory() *storeDirectory {
	return &storeDirectory{members: f.members, machine: f.machine, now: func() time.Time { return f.now }}
}

// newService returns a service through which an operator can retire stores.
func (f *placementFixture) newService(minimumStores int) *service {
	return newService(&fakeReplica{machine: f.machine}, f.machine, f.newStoreDirectory(), minimumStores)
}
