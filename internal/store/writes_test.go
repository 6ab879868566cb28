package store

import (
	"context"
	"testing"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
)

func submitTo(p *partition, job batch.Job, maxQueuedTokens int64) (*batchcall.Reply, error) {
	request := &batchcall.SubmitRequest{Partition: 1, Job: job, MaxQueuedTokens: maxQueuedTokens}
	return p.submit(context.Background(), request)
}

// checkKind compares the kind of an error.
func checkKind(t *testing.T, what string, err error, want fault.Kind) {
	t.Helper()
	if err == nil {
		t.Errorf("%s: got no error, want %v", what, want)
		return
	}
	if got := fault.KindOf(err); got != want {
		t.Errorf("%s: got %v (%v), want %v", what, got, err, want)
	}
}

// checkAnswered fails unless a call was handled by this store, without an error.
func checkAnswered(t *testing.T, what string, reply *batchcall.Reply, err error) {
	t.Helper()
	if err != nil || reply.Redirect != nil {
		t.Errorf("%s: got %+v, %v, want an answer", what, reply, err)
	}
}

// checkRedirected fails unless a call was redirected to the head.
func checkRedirected(t *testing.T, what string, reply *batchcall.Reply, err error) {
	t.Helper()
	if err != nil || reply.Redirect == nil {
		t.Errorf("%s: got %+v, %v, want a redirect", what, reply, err)
	}
}

// checkCommits compares the number of commands that were committed.
func checkCommits(t *testing.T, what string, replica *fakeReplica, want int) {
	t.Helper()
	if got := replica.commits; got != want {
		t.Errorf("commits %s: got %d, want %d", what, got, want)
	}
}

func TestSubmitErrorIsUnclearUnlessNotReady(t *testing.T) {
	p, replica := newTestPartition()
	job := testJob(testKey(1), 3, 1)
	for kind, want := range map[fault.Kind]fault.Kind{
		fault.NotReady: fault.NotReady,
		fault.Unclear:  fault.Unclear,
		fault.Internal: fault.Unclear,
	} {
		replica.set(func(r *fakeReplica) { r.proposeError = fault.New(kind, "x") })
		_, err := submitTo(p, job, 0)
		checkKind(t, "proposal that fails with "+kind.String(), err, want)
	}
}

// Without a confirmation that this store is the head, a job is refused only by a committed command; with a confirmation the store
// refuses it without a commit.
func TestJobOverTheQueuedTokenLimitIsRefused(t *testing.T) {
	p, replica := newTestPartition()
	job := testJob(testKey(1), 3, 1)
	_, err := submitTo(p, job, 20)
	checkKind(t, "without a confirmation", err, fault.QuotaExceeded)
	checkCommits(t, "without a confirmation", replica, 1)
	_, err = submitTo(p, job, 20)
	checkKind(t, "with a confirmation", err, fault.QuotaExceeded)
	checkCommits(t, "with a confirmation", replica, 1)
	for range 2 {
		reply, err := submitTo(p, job, 30)
		checkAnswered(t, "within the queued tokens", reply, err)
	}
}

func TestOfferIsConfirmedAndChangesNothing(t *testing.T) {
	p, replica := newTestPartition()
	job := testJob(testKey(1), 3, 1)
	submission := &batch.Submit{Job: job, MaxQueuedTokens: 30}
	request := &batchcall.OfferRequest{Offer: submission.Offer()}
	reply, err := p.offer(context.Background(), request)
	checkAnswered(t, "job that fits", reply, err)

	request.Offer.MaxQueuedTokens = 29
	_, err = p.offer(context.Background(), request)
	checkKind(t, "job that does not fit", err, fault.QuotaExceeded)

	p.confirmation.reset()
	replica.set(func(r *fakeReplica) { r.barrierError = errTestNotReady })
	_, err = p.offer(context.Background(), request)
	checkKind(t, "without a confirmation", err, fault.NotReady)

	replica.set(func(r *fakeReplica) { r.head = false })
	reply, err = p.offer(context.Background(), request)
	checkRedirected(t, "not the head", reply, err)
	checkCommits(t, "for offers", replica, 0)
}

func TestOnlyTheHeadWrites(t *testing.T) {
	p, replica := newTestPartition()
	replica.set(func(r *fakeReplica) { r.head = false })
	job := testJob(testKey(1), 3, 1)
	reply, err := submitTo(p, job, 0)
	checkRedirected(t, "submit", reply, err)
	want := batchcall.Redirect{Epoch: 4, Head: replica.View().Members[0].Address}
	if err == nil && reply.Redirect != nil && *reply.Redirect != want {
		t.Errorf("redirect: got %+v, want %+v", *reply.Redirect, want)
	}
	reply, err = p.end(context.Background(), &batchcall.EndRequest{Key: job.Key})
	checkRedirected(t, "end", reply, err)
	checkCommits(t, "on a store that is not the head", replica, 0)
}
