package store

import (
	"context"
	"net/http"
	"path"
	"testing"

	"nickelline/internal/chain"
	"nickelline/internal/fault"
	"nickelline/internal/segment"
)

func TestJobsAreReadFromAnyReplica(t *testing.T) {
	c := newCluster(t, 3)
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 30, 4)
	c.submit(job)
	c.submit(job)
	results := c.results(job)
	c.checkCompleted(results, 4)
	if got := len(results); got != 30 {
		t.Errorf("results: got %d, want 30", got)
	}
	ctx := context.Background()
	_, err := c.client.Results(ctx, testTenant, "no such job", 0, 0)
	checkKind(t, "results of an unknown job", err, fault.NotFound)
	_, err = c.client.ItemBody(ctx, testTenant, job.Key.Identifier, job.Items[0].Identifier)
	checkKind(t, "body of a listed item", err, fault.NotFound)
}

func TestJobsSurviveTheLossOfTheHead(t *testing.T) {
	c := newCluster(t, 3)
	c.setRefused(true)
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 30, 4)
	c.submit(job)
	body, err := c.client.ItemBody(context.Background(), testTenant, job.Key.Identifier, job.Items[3].Identifier)
	if err != nil || string(body) != "body" {
		t.Errorf("body of a waiting item: got %q, %v, want %q", body, err, "body")
	}
	c.close(0)
	c.place(2, []int{1, 2}, nil)
	c.setRefused(false)
	before := c.results(job)
	c.checkCompleted(before, 4)
	second := testJob(testKey(2), 5, 2)
	c.submit(second)
	c.checkCompleted(c.results(second), 2)
	c.checkUnchanged(job, before)
}

func TestRunningItemsRunAgainAtTheNextHead(t *testing.T) {
	c := newCluster(t, 3)
	started, release := make(chan struct{}, 100), make(chan struct{})
	for _, b := range c.fixture.backends {
		b.beforeEvent = func(r *http.Request, id int) bool {
			if id < 3 {
				return true
			}
			started <- struct{}{}
			select {
			case <-release:
				return true
			case <-r.Context().Done():
				return false
			}
		}
	}
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 5, 4)
	c.submit(job)
	for range job.Items {
		receive(t, started)
	}
	c.close(0)
	c.place(2, []int{2, 1}, nil)
	for range job.Items {
		receive(t, started)
	}
	close(release)
	c.checkCompleted(c.results(job), 4)
	c.fixture.eventually("no attempt is left", func() bool {
		left := 0
		c.fixture.admission.set(func(a *fakeAdmission) { left = a.permits })
		return left == 0
	})
}

func TestJobsSurviveTheRestartOfAllStores(t *testing.T) {
	c := newCluster(t, 2)
	c.place(1, []int{0, 1}, nil)
	job := testJob(testKey(1), 10, 3)
	c.submit(job)
	before := c.results(job)
	c.setRefused(true)
	second := testJob(testKey(2), 10, 3)
	c.submit(second)
	c.close(0)
	c.close(1)
	c.setRefused(false)
	c.open(0, c.stores[0].self.Address)
	c.open(1, c.stores[1].self.Address)
	c.checkCompleted(c.results(second), 3)
	c.checkUnchanged(job, before)
}

func TestLearnerTakesOverAndFormerMemberDropsItsLog(t *testing.T) {
	c := newCluster(t, 3)
	c.place(1, []int{0, 1}, nil)
	job := testJob(testKey(1), 10, 3)
	c.submit(job)
	before := c.results(job)
	c.place(1, []int{0, 1}, []int{2})
	c.fixture.eventually("the learner has caught up", func() bool {
		report := c.stores[2].service.currentReport()
		return len(report.Chains) == 1 && report.Chains[0].CaughtUp
	})
	c.place(2, []int{1, 2}, nil)
	second := testJob(testKey(2), 10, 3)
	c.submit(second)
	c.checkCompleted(c.results(second), 3)
	c.fixture.eventually("the former member keeps no partition", func() bool {
		return len(c.stores[0].service.currentReport().Chains) == 0
	})
	names, err := segment.OSFileSystem{}.List(path.Join(c.stores[0].service.directoryOf(1), chain.LogDirectory))
	if err != nil || len(names) != 0 {
		t.Errorf("files of the log: got %v, %v, want none", names, err)
	}
	c.close(1)
	c.place(3, []int{2}, nil) // below the minimum: no command is committed, but earlier ones are kept
	c.close(2)
	c.open(1, c.stores[1].self.Address)
	c.open(2, c.stores[2].self.Address)
	c.place(4, []int{2, 1}, nil)
	c.checkUnchanged(job, before)
}

func TestEndedJobDoesNotRun(t *testing.T) {
	c := newCluster(t, 2)
	c.setRefused(true)
	c.place(1, []int{0, 1}, nil)
	job := testJob(testKey(1), 10, 3)
	c.submit(job)
	if err := c.client.End(context.Background(), testTenant, job.Key.Identifier); err != nil {
		t.Fatal(err)
	}
	c.setRefused(false)
	second := testJob(testKey(2), 3, 3)
	c.submit(second)
	c.checkCompleted(c.results(second), 3)
	if got := len(c.fixture.backends[0].receivedRequests()) + len(c.fixture.backends[1].receivedRequests()); got != 3 {
		t.Errorf("requests to the backends: got %d, want 3", got)
	}
	page, err := c.client.Results(context.Background(), testTenant, job.Key.Identifier, 0, 0)
	if err != nil || page.Total != 10 || len(page.Results) != 0 {
		t.Errorf("got %+v, %v, want a page of 10 items without results", page, err)
	}
}
