package batch

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"nickelline/internal/batch/deflated"
)

const testRoute = "reports"

func testKey(n int) Key { return Key{Tenant: "acme", Identifier: fmt.Sprintf("job-%d", n)} }

// testJob returns a job whose items have 10 tokens each.
func testJob(key Key, items int) Job {
	job := Job{Key: key, Route: RouteRef{Name: testRoute, Host: "a.example", Prefix: "/reports/"}}
	for i := range items {
		job.Items = append(job.Items, Item{
			Identifier: fmt.Sprintf("%s-item-%d", key.Identifier, i),
			Path:       fmt.Sprintf("/reports/%d", i),
			Headers:    []Header{{Name: "Nickelline-Model-Name", Value: "m"}, {Name: "Nickelline-Token-Usage", Value: "5,5"}},
			Body:       bytes.Repeat([]byte{byte(i)}, 40),
			Tokens:     10,
		})
	}
	return job
}

// apply encodes a command, applies it and returns its decoded outcome.
func apply(t testing.TB, m *Machine, c *Command) Outcome {
	t.Helper()
	encoded, err := EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	return DecodeOutcome(m.Apply(0, encoded))
}

func submit(t testing.TB, m *Machine, job Job, maxQueuedTokens int64) Outcome {
	t.Helper()
	return apply(t, m, &Command{Submit: &Submit{Job: job, MaxQueuedTokens: maxQueuedTokens}})
}

func offer(job Job, maxQueuedTokens int64) Offer {
	return (&Submit{Job: job, MaxQueuedTokens: maxQueuedTokens}).Offer()
}

func completed(key Key, index uint32, content string) Result {
	return Result{Key: key, Index: index, State: Completed, Content: deflated.Compress([]byte(content))}
}

func original(t testing.TB, block []byte) string {
	t.Helper()
	expanded, err := deflated.Expand(block)
	if err != nil {
		t.Fatal(err)
	}
	return string(expanded)
}

func TestSubmitOnce(t *testing.T) {
	m := New(nil)
	job := testJob(testKey(1), 3)
	for range 2 {
		if got := submit(t, m, job, 30); got != Done {
			t.Fatalf("outcome: got %v, want Done", got)
		}
	}
	if got := m.QueuedTokens("acme", testRoute); got != 30 {
		t.Errorf("queued tokens: got %d, want 30", got)
	}
	page, ok := m.Results(job.Key, 0, 1<<20)
	if !ok || page.Total != 3 || page.Next != 0 || page.Closed {
		t.Errorf("page: got %+v, %v, want an open page of 3 items with next 0", page, ok)
	}
}

func TestRejectedSubmissionChangesNothing(t *testing.T) {
	m := New(nil)
	submit(t, m, testJob(testKey(1), 3), 50)
	second := testJob(testKey(2), 3)
	if m.Fits(offer(second, 50)) || !m.Fits(offer(second, 60)) || !m.Fits(offer(testJob(testKey(1), 3), 1)) {
		t.Error("Fits: got an answer that differs from the outcome of a submission, want the same")
	}
	if got := submit(t, m, second, 50); got != QuotaExceeded {
		t.Fatalf("outcome over the quota: got %v, want QuotaExceeded", got)
	}
	if _, ok := m.Results(second.Key, 0, 1); ok {
		t.Error("results of a rejected job: got a page, want none")
	}
	apply(t, m, &Command{Append: []Result{completed(testKey(1), 2, "x")}})
	if got := submit(t, m, second, 50); got != Done {
		t.Errorf("outcome of the rejected job once it fits: got %v, want Done", got)
	}
}

func TestTokensAreCountedByTenantAndRoute(t *testing.T) {
	m := New(nil)
	submit(t, m, testJob(testKey(1), 3), 30)
	other := testJob(Key{Tenant: "bolt", Identifier: "job-1"}, 3)
	if got := submit(t, m, other, 30); got != Done {
		t.Errorf("outcome for another tenant: got %v, want Done", got)
	}
	otherRoute := testJob(testKey(2), 3)
	otherRoute.Route.Name = "letters"
	if got := submit(t, m, otherRoute, 30); got != Done {
		t.Errorf("outcome on another route: got %v, want Done", got)
	}
}

func TestResultsAreListedInOrderOfAppend(t *testing.T) {
	m := New(nil)
	key := testKey(1)
	submit(t, m, testJob(key, 3), 0)
	apply(t, m, &Command{Append: []Result{completed(key, 2, "two"), completed(key, 0, "zero")}})
	apply(t, m, &Command{Append: []Result{completed(key, 2, "again"), {Key: key, Index: 1, State: Abandoned}}})
	page, _ := m.Results(key, 0, 1<<20)
	want := []string{"job-1-item-2 1 two", "job-1-item-0 1 zero", "job-1-item-1 2 "}
	for i, result := range page.Results {
		if got := fmt.Sprintf("%s %d %s", result.Identifier, result.State, original(t, result.Content)); got != want[i] {
			t.Errorf("result at position %d: got %q, want %q", i, got, want[i])
		}
	}
	if len(page.Results) != 3 || !page.Closed || page.Next != 3 {
		t.Errorf("page: got %+v, want 3 results and closed", page)
	}
}

func TestPageIsBoundedButNeverEmpty(t *testing.T) {
	m := New(nil)
	key := testKey(1)
	submit(t, m, testJob(key, 3), 0)
	for i := range uint32(3) {
		apply(t, m, &Command{Append: []Result{completed(key, i, "0123456789")}})
	}
	for _, c := range []struct{ from, bytes, count int }{{0, 5, 1}, {0, 20, 2}, {1, 100, 2}, {3, 100, 0}, {9, 100, 0}} {
		page, _ := m.Results(key, c.from, c.bytes)
		if len(page.Results) != c.count || page.Next != c.from+c.count {
			t.Errorf("page from %d with %d bytes: got %d results, next %d, want %d results", c.from, c.bytes, len(page.Results), page.Next, c.count)
		}
	}
}

func TestBodyUntilListedOrEnded(t *testing.T) {
	m := New(nil)
	key := testKey(1)
	job := testJob(key, 3)
	submit(t, m, job, 0)
	body, ok := m.Body(key, "job-1-item-1")
	if !ok || !bytes.Equal(body, job.Items[1].Body) {
		t.Fatalf("body: got %q, %v, want %q", body, ok, job.Items[1].Body)
	}
	apply(t, m, &Command{Append: []Result{completed(key, 1, "x")}})
	if _, ok := m.Body(key, "job-1-item-1"); ok {
		t.Error("body of a listed item: got one, want none")
	}
	apply(t, m, &Command{End: &key})
	if _, ok := m.Body(key, "job-1-item-0"); ok {
		t.Error("body of an item of an ended job: got one, want none")
	}
}

func TestEndReleasesTokensAndKeepsListedResults(t *testing.T) {
	m := New(nil)
	key := testKey(1)
	submit(t, m, testJob(key, 3), 0)
	apply(t, m, &Command{Append: []Result{completed(key, 1, "x")}})
	for range 2 {
		apply(t, m, &Command{End: &key})
	}
	apply(t, m, &Command{Append: []Result{completed(key, 0, "late")}})
	if got := m.QueuedTokens("acme", testRoute); got != 0 {
		t.Errorf("queued tokens after the end: got %d, want 0", got)
	}
	page, ok := m.Results(key, 0, 1<<20)
	if !ok || page.Total != 3 || len(page.Results) != 1 || !page.Closed {
		t.Errorf("page: got %+v, %v, want a closed page of 3 items with 1 result", page, ok)
	}
	if _, ok := m.PendingJob(key); ok {
		t.Error("ended job: got pending items, want none")
	}
}

func TestEndBeforeSubmitKeepsTheJobFromRunning(t *testing.T) {
	m := New(nil)
	key := testKey(1)
	apply(t, m, &Command{End: &key})
	if _, ok := m.Results(key, 0, 1); ok {
		t.Error("results of a job that was only ended: got a page, want none")
	}
	submit(t, m, testJob(key, 3), 1)
	if _, ok := m.PendingJob(key); ok {
		t.Error("job submitted after its end: got pending items, want none")
	}
	if page, ok := m.Results(key, 0, 1); !ok || page.Total != 3 {
		t.Errorf("page: got %+v, %v, want a page of 3 items", page, ok)
	}
	if got := m.QueuedTokens("acme", testRoute); got != 0 {
		t.Errorf("queued tokens: got %d, want 0", got)
	}
}

func TestAgeIsALowerBound(t *testing.T) {
	m := New(nil)
	reading := func(source uint64, seconds int) ClockReading {
		return ClockReading{Source: source, Elapsed: time.Duration(seconds) * time.Second}
	}
	job := testJob(testKey(1), 1)
	apply(t, m, &Command{Clock: reading(1, 100), Submit: &Submit{Job: job}})
	apply(t, m, &Command{Clock: reading(1, 104)})
	apply(t, m, &Command{Clock: reading(1, 102)}) // older than the reading before it
	apply(t, m, &Command{Clock: reading(2, 50)})  // a new head: the time since the last reading is unknown
	apply(t, m, &Command{Clock: reading(2, 53)})
	pending, _ := m.PendingJob(job.Key)
	if age := m.Now(reading(2, 54)) - pending.SubmittedAt; age != 8*time.Second {
		t.Errorf("age: got %v, want 8s", age)
	}
	if age := m.Now(reading(3, 500)) - pending.SubmittedAt; age != 7*time.Second {
		t.Errorf("age for a reading of a new source: got %v, want 7s", age)
	}
}

func TestDropOnlyClosedJobs(t *testing.T) {
	m := New(nil)
	first, second := testKey(1), testKey(2)
	submit(t, m, testJob(first, 1), 0)
	submit(t, m, testJob(second, 1), 0)
	apply(t, m, &Command{End: &second})
	late := ClockReading{Elapsed: time.Minute}
	if got := m.Expired(late, time.Minute); len(got) != 1 || got[0] != second {
		t.Errorf("expired jobs: got %v, want only %v", got, second)
	}
	apply(t, m, &Command{Drop: []Key{first, second}})
	if _, ok := m.Results(first, 0, 1); !ok {
		t.Error("pending job: got it dropped, want it retained")
	}
	if _, ok := m.Results(second, 0, 1); ok {
		t.Error("closed job: got it retained, want it dropped")
	}
}

func TestMalformedCommandChangesNothing(t *testing.T) {
	m := New(nil)
	if got := DecodeOutcome(m.Apply(1, []byte{1, 2, 3})); got != Malformed {
		t.Errorf("outcome: got %v, want Malformed", got)
	}
}

func TestMalformedSnapshotChangesNothing(t *testing.T) {
	m := New(nil)
	submit(t, m, testJob(testKey(1), 2), 0)
	before := m.Snapshot()
	for cut := range len(before) {
		if err := m.Restore(before[:cut]); err == nil {
			t.Fatalf("restore of a snapshot truncated to %d of %d bytes: got no error, want one", cut, len(before))
		}
	}
	if !bytes.Equal(m.Snapshot(), before) {
		t.Error("state after a failed restore: got a different one, want it unchanged")
	}
}
