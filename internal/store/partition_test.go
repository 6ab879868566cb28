package store

import (
	"context"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
)

func submitTo(p *partition, job batch.Job, most int64) (*batchcall.Reply, error) {
	return p.submit(context.Background(), &batchcall.SubmitRequest{Partition: 1, Job: job, MaxQueuedTokens: most})
}

func TestSubmissionErrorsPromiseNoMoreThanIsKnown(t *testing.T) {
	p, replica := newTestPartition()
	job := testJob(testKey(1), 3, 1)
	for kind, want := range map[fault.Kind]fault.Kind{
		fault.NotReady: fault.NotReady,
		fault.Unclear:  fault.Unclear,
		fault.Internal: fault.Unclear,
	} {
		replica.set(func(r *fakeReplica) { r.propose = fault.New(kind, "x") })
		if _, err := submitTo(p, job, 0); fault.KindOf(err) != want {
			t.Errorf("kind %d is told as %d", kind, fault.KindOf(err))
		}
	}
	replica.set(func(r *fakeReplica) { r.propose = nil })
	if _, err := submitTo(p, job, 20); fault.KindOf(err) != fault.QuotaExceeded {
		t.Error(err)
	}
	if replica.commits != 1 {
		t.Errorf("%d commits for a refusal without a proof that this store is the head", replica.commits)
	}
	if _, err := submitTo(p, job, 20); fault.KindOf(err) != fault.QuotaExceeded || replica.commits != 1 {
		t.Errorf("%v, %d commits, with a proof", err, replica.commits)
	}
	for range 2 {
		if reply, err := submitTo(p, job, 30); err != nil || reply.Redirect != nil {
			t.Error(reply, err)
		}
	}
}

func TestOfferIsAnsweredBehindAProofAndTakesNothing(t *testing.T) {
	p, replica := newTestPartition()
	job := testJob(testKey(1), 3, 1)
	take := &batch.Submit{Job: job, MaxQueuedTokens: 30}
	request := &batchcall.OfferRequest{Offer: take.Offer()}
	if reply, err := p.offer(context.Background(), request); err != nil || reply.Redirect != nil {
		t.Error(reply, err)
	}
	request.Offer.MaxQueuedTokens = 29
	if _, err := p.offer(context.Background(), request); fault.KindOf(err) != fault.QuotaExceeded {
		t.Error(err)
	}
	p.confirmation.reset()
	replica.set(func(r *fakeReplica) { r.barrier = errTestNotReady })
	if _, err := p.offer(context.Background(), request); fault.KindOf(err) != fault.NotReady {
		t.Errorf("without a proof that this store is the head: %v", err)
	}
	replica.set(func(r *fakeReplica) { r.head = false })
	if reply, err := p.offer(context.Background(), request); err != nil || reply.Redirect == nil {
		t.Errorf("not the head: %v, %v", reply, err)
	}
	if replica.commits != 0 {
		t.Errorf("%d commits for offers", replica.commits)
	}
}

func TestOnlyTheHeadActs(t *testing.T) {
	p, replica := newTestPartition()
	replica.set(func(r *fakeReplica) { r.head = false })
	job := testJob(testKey(1), 3, 1)
	reply, err := submitTo(p, job, 0)
	if err != nil || reply.Redirect == nil || reply.Redirect.Epoch != 4 || reply.Redirect.Head != replica.View().Members[0].Address {
		t.Error(reply, err)
	}
	reply, err = p.end(context.Background(), &batchcall.EndRequest{Key: job.Key})
	if err != nil || reply.Redirect == nil || replica.commits != 0 {
		t.Error(reply, err)
	}
}

func TestUnknownJobIsToldOnlyBehindABarrier(t *testing.T) {
	p, replica := newTestPartition()
	read := &batchcall.ResultsRequest{Key: testKey(1), MaxBytes: 1 << 20}
	if _, err := p.results(context.Background(), read); fault.KindOf(err) != fault.NotFound {
		t.Error(err)
	}
	replica.set(func(r *fakeReplica) { r.barrier = errTestNotReady })
	if _, err := p.results(context.Background(), read); fault.KindOf(err) != fault.NotReady {
		t.Errorf("with a young proof but no new barrier: %v", err)
	}
	item := &batchcall.BodyRequest{Key: testKey(1), Identifier: "e"}
	if _, err := p.body(context.Background(), item); fault.KindOf(err) != fault.NotReady {
		t.Error(err)
	}
	replica.set(func(r *fakeReplica) { r.head = false })
	if reply, err := p.results(context.Background(), read); err != nil || reply.Redirect == nil {
		t.Error(reply, err)
	}
}

func TestReadNeedsAProofThatIsYoungEnough(t *testing.T) {
	p, replica := newTestPartition()
	job := testJob(testKey(1), 3, 1)
	if _, err := submitTo(p, job, 0); err != nil {
		t.Fatal(err)
	}
	replica.set(func(r *fakeReplica) { r.barrier = errTestNotReady })
	read := &batchcall.ResultsRequest{Key: job.Key, MaxBytes: 1 << 20}
	if reply, err := p.results(context.Background(), read); err != nil || reply.Page.Total != 3 {
		t.Errorf("%v, %v within the bound of the commit's proof", reply, err)
	}
	p.readConfirmationAge = time.Nanosecond
	if _, err := p.results(context.Background(), read); fault.KindOf(err) != fault.NotReady {
		t.Errorf("without a proof: %v", err)
	}
}

func TestReadWaitsForTheFirstResult(t *testing.T) {
	p, _ := newTestPartition()
	job := testJob(testKey(1), 2, 1)
	if _, err := submitTo(p, job, 0); err != nil {
		t.Fatal(err)
	}
	list := func(index uint32) {
		command := &batch.Command{Append: []batch.Result{{Key: job.Key, Index: index, State: batch.Completed, Content: []byte("x")}}}
		if _, err := p.propose(context.Background(), command); err != nil {
			t.Error(err)
		}
	}
	answers := make(chan *batchcall.Reply)
	read := func(from int) {
		reply, err := p.results(context.Background(), &batchcall.ResultsRequest{
			Key: job.Key, StartAfter: from, Wait: patience, MaxBytes: 1 << 20,
		})
		if err != nil {
			t.Error(err)
		}
		answers <- reply
	}
	for index := range uint32(2) {
		go read(int(index))
		list(index)
		if reply := <-answers; reply.Page.Next != int(index)+1 || len(reply.Page.Results) != 1 {
			t.Errorf("%+v", reply.Page)
		}
	}
	go read(2)
	if reply := <-answers; !reply.Page.Closed || len(reply.Page.Results) != 0 || reply.Page.Next != 2 {
		t.Errorf("behind the last result: %+v", reply.Page)
	}
}

func TestReadOfAnEndedJobDoesNotWait(t *testing.T) {
	p, _ := newTestPartition()
	job := testJob(testKey(1), 2, 1)
	if _, err := submitTo(p, job, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := p.end(context.Background(), &batchcall.EndRequest{Key: job.Key}); err != nil {
		t.Fatal(err)
	}
	read := &batchcall.ResultsRequest{Key: job.Key, Wait: patience, MaxBytes: 1 << 20}
	if reply, err := p.results(context.Background(), read); err != nil || reply.Page.Total != 2 {
		t.Error(reply, err)
	}
	item := &batchcall.BodyRequest{Key: job.Key, Identifier: job.Items[0].Identifier}
	if _, err := p.body(context.Background(), item); fault.KindOf(err) != fault.NotFound {
		t.Error(err)
	}
}
