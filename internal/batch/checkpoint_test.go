package batch

import (
	"fmt"
	"testing"

	"nickelline/internal/batch/deflated"
)

// checkpointResult returns a checkpoint of the first item of a job.
func checkpointResult(key Key, from, events uint32, content string) Result {
	return Result{Key: key, From: from, Events: events, LastEvent: fmt.Sprint(events), Content: deflated.Compress([]byte(content))}
}

// pendingItem returns the only pending item of a job.
func pendingItem(t *testing.T, m *Machine, key Key) PendingItem {
	t.Helper()
	pending, ok := m.PendingJob(key)
	if !ok || len(pending.Items) != 1 {
		t.Fatalf("pending items: got %d, want 1", len(pending.Items))
	}
	return pending.Items[0]
}

func TestTextIsJoinedFromCheckpoints(t *testing.T) {
	m := New(nil)
	key := testKey(1)
	submit(t, m, testJob(key, 1), 0)
	first := checkpointResult(key, 0, 2, "one two ")
	apply(t, m, &Command{Append: []Result{first, first}}) // appended twice, as after an unknown outcome
	apply(t, m, &Command{Append: []Result{checkpointResult(key, 2, 3, "three "), checkpointResult(key, 7, 9, "lost ")}})
	if item := pendingItem(t, m, key); item.Events != 3 || item.LastEvent != "3" {
		t.Errorf("checkpoint: got event %q as number %d, want number 3", item.LastEvent, item.Events)
	}
	if page, _ := m.Results(key, 0, 1000); len(page.Results) != 0 || page.Closed {
		t.Errorf("page after a checkpoint: got %+v, want no result", page)
	}
	apply(t, m, &Command{Append: []Result{{Key: key, State: Completed, From: 3, Content: deflated.Compress([]byte("four"))}}})
	page, _ := m.Results(key, 0, 1000)
	if len(page.Results) != 1 || original(t, page.Results[0].Content) != "one two three four" {
		t.Errorf("page: got %+v, want the joined text", page)
	}
	if m.QueuedTokens(key.Tenant, testRoute) != 0 {
		t.Error("queued tokens: got more than 0, want 0")
	}
}

func TestRestartedTextReplacesCheckpoints(t *testing.T) {
	m := New(nil)
	key := testKey(1)
	submit(t, m, testJob(key, 1), 0)
	apply(t, m, &Command{Append: []Result{checkpointResult(key, 0, 2, "one two "), checkpointResult(key, 0, 1, "uno ")}})
	if item := pendingItem(t, m, key); item.Events != 1 {
		t.Errorf("events: got %d, want 1", item.Events)
	}
	apply(t, m, &Command{Append: []Result{completed(key, 0, "all of it")}})
	if page, _ := m.Results(key, 0, 1000); original(t, page.Results[0].Content) != "all of it" {
		t.Errorf("page: got %+v, want only the last text", page)
	}
}

func TestCheckpointsAreReleasedWithTheItem(t *testing.T) {
	for name, command := range map[string]*Command{
		"ended":     {End: &Key{Tenant: "acme", Identifier: "job-1"}},
		"abandoned": {Append: []Result{{Key: testKey(1), State: Abandoned}}},
	} {
		m := New(nil)
		submit(t, m, testJob(testKey(1), 1), 0)
		apply(t, m, &Command{Append: []Result{checkpointResult(testKey(1), 0, 2, "one two ")}})
		apply(t, m, command)
		apply(t, m, &Command{Append: []Result{checkpointResult(testKey(1), 2, 3, "three ")}})
		if left := m.jobs[testKey(1)].items[0]; left.checkpoints != nil || len(left.content) != 0 {
			t.Errorf("%s item: got %+v, want neither checkpoints nor content", name, left)
		}
	}
}
