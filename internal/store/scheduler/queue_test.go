package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"nickelline/internal/batch"
)

// newTestJob returns a job of a tenant, on a route named like the tenant. Its items are named by tenant, job and index: "a1.0".
func newTestJob(tenant string, job, items int) *Job {
	pending := batch.PendingJob{Key: batch.Key{Tenant: tenant, Identifier: fmt.Sprint(job)}, Route: batch.RouteRef{Name: tenant}}
	for i := range items {
		item := batch.Item{Identifier: fmt.Sprintf("%s%d.%d", tenant, job, i)}
		pending.Items = append(pending.Items, batch.PendingItem{Index: uint32(i), Item: item})
	}
	return newJob(pending)
}

func anyJob(*Job) bool { return true }

// checkOrder pops all items of eligible jobs, and compares their identifiers and the number of remaining items.
func checkOrder(t *testing.T, q *queue, eligible func(*Job) bool, want []string, wantLeft int) {
	t.Helper()
	var got []string
	for item := q.pop(eligible); item != nil; item = q.pop(eligible) {
		got = append(got, item.Pending.Identifier)
	}
	if !slices.Equal(got, want) {
		t.Errorf("popped %v, want %v", got, want)
	}
	if q.waiting != wantLeft {
		t.Errorf("%d items left, want %d", q.waiting, wantLeft)
	}
}

func TestTenantsAreServedRoundRobin(t *testing.T) {
	q := &queue{}
	q.add(newTestJob("a", 1, 3))
	q.add(newTestJob("a", 2, 2))
	q.add(newTestJob("b", 1, 2))
	checkOrder(t, q, anyJob, []string{"a1.0", "b1.0", "a1.1", "b1.1", "a1.2", "a2.0", "a2.1"}, 0)
}

func TestIneligibleJobsAreSkipped(t *testing.T) {
	q := &queue{}
	q.add(newTestJob("a", 1, 2))
	q.add(newTestJob("b", 1, 2))
	notRouteA := func(j *Job) bool { return j.Pending.Route.Name != "a" }
	checkOrder(t, q, notRouteA, []string{"b1.0", "b1.1"}, 2)
}

func TestItemGivenBackRunsFirst(t *testing.T) {
	q := &queue{}
	q.add(newTestJob("a", 1, 3))
	q.pushFront(q.pop(anyJob))
	checkOrder(t, q, anyJob, []string{"a1.0", "a1.1", "a1.2"}, 0)
}

func TestRemovedJobIsNotPopped(t *testing.T) {
	q := &queue{}
	removed := newTestJob("a", 1, 3)
	q.add(removed)
	q.add(newTestJob("b", 1, 1))
	q.add(newTestJob("c", 1, 1))
	q.pop(anyJob)
	q.remove(removed)
	checkOrder(t, q, anyJob, []string{"b1.0", "c1.0"}, 0)
}

// After a change of the head, started items run before items that have not been started.
func TestStartedItemsRunFirst(t *testing.T) {
	q := &queue{}
	q.add(newTestJob("a", 1, 3))
	second := newTestJob("a", 2, 3).Pending
	second.Items[1].Events = 4
	second.Items[2].Events = 1
	q.add(newJob(second))
	q.add(newTestJob("b", 1, 2))
	checkOrder(t, q, anyJob, []string{"a2.1", "b1.0", "a2.2", "b1.1", "a1.0", "a1.1", "a1.2", "a2.0"}, 0)
}
