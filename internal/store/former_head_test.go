package store

import (
	"context"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/fault"
	"nickelline/internal/placement"
)

// hosted waits until a store has installed the view of an epoch, and returns its partition.
func (c *cluster) hosted(store int, epoch uint64) *hostedPartition {
	c.t.Helper()
	s := c.stores[store].service
	var hosted *hostedPartition
	c.fixture.eventually("the store is in the view", func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		hosted = s.partitions[placement.ChainOf(0)]
		return hosted != nil && hosted.node.View().Epoch == epoch
	})
	return hosted
}

// testCheckpoint returns a checkpoint of the first item of a job. The text has from events before the checkpoint, and the given
// number of events with it.
func testCheckpoint(key batch.Key, from, events uint32) batch.Result {
	return batch.Result{Key: key, From: from, Events: events, LastEvent: "e", Content: deflated.Compress([]byte("text"))}
}

// A checkpoint that a former head took must not be committed once the next head runs the item: it would replace the checkpoints
// of the next head. The state machine would then ignore the next head's result, and the item would never be listed.
func TestLateCheckpointOfFormerHeadIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	c.setRefused(true)
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 1, 4)
	c.submit(job)
	former := c.hosted(0, 1)
	formerRunner := former.runner.Load()
	c.place(2, []int{1, 0, 2}, nil)
	next := c.hosted(1, 2)
	c.hosted(0, 2)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	appendAt := func(r *runner, results ...batch.Result) error {
		_, err := r.partition.proposeInTerm(ctx, r.appender.term, &batch.Command{Append: results})
		return err
	}
	var nextRunner *runner
	c.fixture.eventually("the next head has a runner", func() bool {
		nextRunner = next.runner.Load()
		return nextRunner != nil
	})
	for _, checkpoint := range []batch.Result{testCheckpoint(job.Key, 0, 2), testCheckpoint(job.Key, 2, 3)} {
		if err := appendAt(nextRunner, checkpoint); err != nil {
			t.Fatal(err)
		}
	}
	checkKind(t, "late checkpoint of the former head", appendAt(formerRunner, testCheckpoint(job.Key, 0, 1)), fault.NotReady)
	result := batch.Result{Key: job.Key, State: batch.Completed, From: 3, Content: deflated.Compress([]byte("rest"))}
	if err := appendAt(nextRunner, result); err != nil {
		t.Fatal(err)
	}
	if got := len(c.results(job)); got != 1 {
		t.Errorf("listed items: got %d, want 1", got)
	}
}

// The appender of a former head retries until its context ends, without its checkpoint being committed anywhere.
func TestAppenderOfFormerHeadAppendsNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.setRefused(true)
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 1, 4)
	c.submit(job)
	formerRunner := c.hosted(0, 1).runner.Load()
	c.place(2, []int{1, 0, 2}, nil)
	c.hosted(0, 2)
	next := c.hosted(1, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 3*appendRetryPause)
	defer cancel()
	late := &appender{partition: formerRunner.partition, term: formerRunner.appender.term, log: formerRunner.appender.log}
	late.append(ctx, &batch.Command{Append: []batch.Result{testCheckpoint(job.Key, 0, 1)}})
	confirmed, cancelConfirmed := context.WithTimeout(context.Background(), testTimeout)
	defer cancelConfirmed()
	if err := next.partition.confirm(confirmed, 0); err != nil {
		t.Fatal(err)
	}
	next.partition.state.read(func(m *batch.Machine) {
		pending, open := m.PendingJob(job.Key)
		if !open || pending.Items[0].Events != 0 {
			t.Errorf("checkpoints of the item at the next head: got %+v, want none", pending)
		}
	})
	if ctx.Err() == nil {
		t.Errorf("the appender ended before its context, want it to retry every %v", appendRetryPause)
	}
}

// A replica that becomes the head again begins a new term: appends of its runner of the former term are refused.
func TestReturningHeadStartsANewTerm(t *testing.T) {
	c := newCluster(t, 3)
	c.setRefused(true)
	c.place(1, []int{0, 1, 2}, nil)
	job := testJob(testKey(1), 1, 4)
	c.submit(job)
	hosted := c.hosted(0, 1)
	formerRunner := hosted.runner.Load()
	c.place(2, []int{1, 0, 2}, nil)
	c.hosted(0, 2)
	c.place(3, []int{0, 1, 2}, nil)
	c.hosted(0, 3)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := formerRunner.partition.proposeInTerm(ctx, formerRunner.appender.term,
		&batch.Command{Append: []batch.Result{testCheckpoint(job.Key, 0, 1)}})
	checkKind(t, "checkpoint of the former term", err, fault.NotReady)
	c.fixture.eventually("the new term has its own runner", func() bool {
		current := hosted.runner.Load()
		return current != nil && current != formerRunner
	})
}
