package store

import (
	"context"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
)

func mustSubmit(t *testing.T, p *partition, job batch.Job) {
	t.Helper()
	if _, err := submitTo(p, job, 0); err != nil {
		t.Fatal(err)
	}
}

func TestUnknownJobIsConfirmedByABarrier(t *testing.T) {
	p, replica := newTestPartition()
	read := &batchcall.ResultsRequest{Key: testKey(1), MaxBytes: 1 << 20}
	_, err := p.results(context.Background(), read)
	checkKind(t, "results after a barrier", err, fault.NotFound)

	replica.set(func(r *fakeReplica) { r.barrierError = errTestNotReady })
	_, err = p.results(context.Background(), read)
	checkKind(t, "results with a fresh confirmation but no new barrier", err, fault.NotReady)

	item := &batchcall.BodyRequest{Key: testKey(1), Identifier: "e"}
	_, err = p.body(context.Background(), item)
	checkKind(t, "body with a fresh confirmation but no new barrier", err, fault.NotReady)

	replica.set(func(r *fakeReplica) { r.head = false })
	reply, err := p.results(context.Background(), read)
	checkRedirected(t, "results on a store that is not the head", reply, err)
}

func TestReadRequiresAFreshConfirmation(t *testing.T) {
	p, replica := newTestPartition()
	job := testJob(testKey(1), 3, 1)
	mustSubmit(t, p, job)
	replica.set(func(r *fakeReplica) { r.barrierError = errTestNotReady })
	read := &batchcall.ResultsRequest{Key: job.Key, MaxBytes: 1 << 20}
	if reply, err := p.results(context.Background(), read); err != nil || reply.Page.Total != 3 {
		t.Errorf("soon after a commit: got %+v, %v, want a page of 3 items", reply, err)
	}
	p.readConfirmationAge = time.Nanosecond
	_, err := p.results(context.Background(), read)
	checkKind(t, "without a fresh confirmation", err, fault.NotReady)
}

func TestReadWaitsForTheFirstResult(t *testing.T) {
	p, _ := newTestPartition()
	job := testJob(testKey(1), 2, 1)
	mustSubmit(t, p, job)
	list := func(index uint32) {
		result := batch.Result{Key: job.Key, Index: index, State: batch.Completed, Content: []byte("x")}
		if _, err := p.propose(context.Background(), &batch.Command{Append: []batch.Result{result}}); err != nil {
			t.Error(err)
		}
	}
	answers := make(chan *batchcall.Reply)
	read := func(from int) {
		request := &batchcall.ResultsRequest{Key: job.Key, StartAfter: from, Wait: testTimeout, MaxBytes: 1 << 20}
		reply, err := p.results(context.Background(), request)
		if err != nil {
			t.Error(err)
		}
		answers <- reply
	}
	for index := range 2 {
		go read(index)
		list(uint32(index))
		page := (<-answers).Page
		if page.Next != index+1 || len(page.Results) != 1 {
			t.Errorf("result %d: got %+v, want 1 result and next %d", index, page, index+1)
		}
	}
	go read(2)
	page := (<-answers).Page
	if !page.Closed || len(page.Results) != 0 || page.Next != 2 {
		t.Errorf("after the last result: got %+v, want a closed page without results and next 2", page)
	}
}

func TestReadOfAnEndedJobDoesNotWait(t *testing.T) {
	p, _ := newTestPartition()
	job := testJob(testKey(1), 2, 1)
	mustSubmit(t, p, job)
	if _, err := p.end(context.Background(), &batchcall.EndRequest{Key: job.Key}); err != nil {
		t.Fatal(err)
	}
	read := &batchcall.ResultsRequest{Key: job.Key, Wait: testTimeout, MaxBytes: 1 << 20}
	if reply, err := p.results(context.Background(), read); err != nil || reply.Page.Total != 2 {
		t.Errorf("results: got %+v, %v, want a page of 2 items", reply, err)
	}
	item := &batchcall.BodyRequest{Key: job.Key, Identifier: job.Items[0].Identifier}
	_, err := p.body(context.Background(), item)
	checkKind(t, "body", err, fault.NotFound)
}
