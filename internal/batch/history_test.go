package batch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"nickelline/internal/batch/deflated"
)

// history applies random commands through a log to replicas that crash and restart from a snapshot and the log after it. It
// records the answers that clients received.
type history struct {
	t            *testing.T
	random       *rand.Rand
	log          [][]byte
	replicas     []*replica
	acknowledged map[Key]*acknowledgedJob
	now          time.Duration // real time
	head         ClockReading  // clock of the current head, whose source began at headStart
	headStart    time.Duration
}

type replica struct {
	machine         *Machine
	applied         int
	snapshot        []byte
	snapshotApplied int // number of commands in the snapshot
}

// acknowledgedJob is the state of a job that clients received in answers. It must never be revoked.
type acknowledgedJob struct {
	submitted   bool
	ended       bool
	submittedAt time.Duration
	listed      []ListedResult
}

const (
	historyReplicas = 3
	historyJobs     = 12
	historySteps    = 400
	historyQuota    = 200
)

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{t: t, random: rand.New(rand.NewPCG(seed, 1)), acknowledged: map[Key]*acknowledgedJob{}}
	for range historyReplicas {
		h.replicas = append(h.replicas, &replica{machine: New(nil)})
	}
	h.changeHead()
	return h
}

func (h *history) changeHead() {
	h.head.Source++
	h.headStart = h.now
}

func (h *history) reading() ClockReading {
	return ClockReading{Source: h.head.Source, Elapsed: h.now - h.headStart}
}

// commit appends a command to the log and returns its outcome on the head. Other replicas apply it when they catch up.
func (h *history) commit(c *Command) Outcome {
	c.Clock = h.reading()
	encoded, err := EncodeCommand(c)
	if err != nil {
		h.t.Fatal(err)
	}
	h.log = append(h.log, encoded)
	return h.catchUp(h.replicas[0])
}

func (h *history) catchUp(r *replica) Outcome {
	outcome := Done
	for ; r.applied < len(h.log); r.applied++ {
		outcome = DecodeOutcome(r.machine.Apply(uint64(r.applied+1), h.log[r.applied]))
	}
	return outcome
}

func (h *history) save(r *replica) {
	r.snapshot = r.machine.Snapshot()
	r.snapshotApplied = r.applied
}

// crash restores a replica from its last snapshot, so that it loses the commands applied after that.
func (h *history) crash(r *replica) {
	r.machine = New(nil)
	r.applied = r.snapshotApplied
	if r.snapshot == nil {
		return
	}
	if err := r.machine.Restore(r.snapshot); err != nil {
		h.t.Fatal(err)
	}
}

func (h *history) step() {
	h.now += time.Duration(h.random.IntN(1000)) * time.Millisecond
	key := testKey(h.random.IntN(historyJobs))
	key.Tenant = fmt.Sprintf("tenant-%d", h.random.IntN(2))
	other := h.replicas[1+h.random.IntN(historyReplicas-1)]
	switch h.random.IntN(13) {
	case 0, 1, 2:
		h.submit(key)
	case 3, 4, 5:
		h.appendResults(key)
	case 10, 11:
		h.runItem(key)
	case 12:
		h.failItem(key)
	case 6:
		h.end(key)
	case 7:
		h.drop()
	case 8:
		h.catchUp(other)
		h.save(other)
	case 9:
		h.injectFault(other)
	}
}

// injectFault restarts the given replica or the head, or changes the head.
func (h *history) injectFault(other *replica) {
	switch h.random.IntN(3) {
	case 0:
		h.crash(other)
	case 1:
		h.crash(h.replicas[0])
		h.catchUp(h.replicas[0])
	case 2:
		h.changeHead()
	}
}

func (h *history) submit(key Key) {
	job := testJob(key, 1+h.random.IntN(6))
	before := h.replicas[0].machine.QueuedTokens(key.Tenant, testRoute)
	outcome := h.commit(&Command{Submit: &Submit{Job: job, MaxQueuedTokens: historyQuota}})
	known := h.acknowledged[key]
	switch {
	case known != nil && outcome != Done:
		h.t.Fatalf("%v: outcome of a known job: got %v, want Done", key, outcome)
	case known == nil && (before+job.Tokens() > historyQuota) != (outcome == QuotaExceeded):
		h.t.Fatalf("%v: outcome for %d tokens beside %d queued: got %v", key, job.Tokens(), before, outcome)
	case known == nil && outcome == Done:
		h.acknowledged[key] = &acknowledgedJob{submitted: true, submittedAt: h.now}
	case known != nil:
		known.submitted = true
	}
}

// appendResults appends results of random items, some of which are listed already or do not exist.
func (h *history) appendResults(key Key) {
	var results []Result
	for range 1 + h.random.IntN(4) {
		results = append(results, completed(key, uint32(h.random.IntN(7)), fmt.Sprintf("run %d", h.random.Uint64())))
	}
	h.commit(&Command{Append: results})
	h.checkAcknowledged(key)
}

// failItem records failures of a waiting item, sometimes fewer than are recorded already, and checks that the number does not fall.
func (h *history) failItem(key Key) {
	pending, ok := h.replicas[0].machine.PendingJob(key)
	if !ok {
		return
	}
	index := h.random.IntN(len(pending.Items))
	item := pending.Items[index]
	failure := Failure{Key: key, Index: item.Index, ServerErrors: uint32(h.random.IntN(6))}
	h.commit(&Command{Fail: []Failure{failure}})
	after, _ := h.replicas[0].machine.PendingJob(key)
	if got, want := after.Items[index].ServerErrors, max(item.ServerErrors, failure.ServerErrors); got != want {
		h.t.Fatalf("%v item %d: got %d recorded failures, want %d", key, item.Index, got, want)
	}
	if after.Items[index].Events != item.Events {
		h.t.Fatalf("%v item %d: a failure changed the events of its text from %d to %d", key, item.Index, item.Events, after.Items[index].Events)
	}
}

// historyEvents is the number of events in the text of an item that runItem runs.
const historyEvents = 9

func eventLine(identifier string, number uint32) string {
	return fmt.Sprintf("%s event %d\n", identifier, number)
}

// runItem appends some events to the text of a waiting item, after its checkpoints or from the start. The command may be
// committed twice.
func (h *history) runItem(key Key) {
	pending, ok := h.replicas[0].machine.PendingJob(key)
	if !ok {
		return
	}
	item := pending.Items[h.random.IntN(len(pending.Items))]
	from := item.Events
	if h.random.IntN(8) == 0 {
		from = 0
	}
	until := min(from+1+uint32(h.random.IntN(4)), historyEvents)
	var chunk bytes.Buffer
	for number := from + 1; number <= until; number++ {
		chunk.WriteString(eventLine(item.Identifier, number))
	}
	result := Result{Key: key, Index: item.Index, Content: deflated.Compress(chunk.Bytes()), From: from}
	if until == historyEvents {
		result.State = Completed
	} else {
		result.Events, result.LastEvent = until, fmt.Sprint(until)
	}
	for range 1 + h.random.IntN(2) {
		h.commit(&Command{Append: []Result{result}})
	}
	h.checkAcknowledged(key)
	h.checkText(key, item, result)
}

func (h *history) compare(key Key, before, after []ListedResult) {
	if len(after) < len(before) {
		h.t.Fatalf("%v: results: got %d, want at least %d", key, len(after), len(before))
	}
	seen := map[string]bool{}
	for i, result := range after {
		if seen[result.Identifier] {
			h.t.Fatalf("%v: got %s twice, want it once", key, result.Identifier)
		}
		seen[result.Identifier] = true
		if i < len(before) && (before[i].Identifier != result.Identifier || !bytes.Equal(before[i].Content, result.Content)) {
			h.t.Fatalf("%v: got a different result at position %d, want the one listed before", key, i)
		}
	}
}

func (h *history) end(key Key) {
	h.commit(&Command{End: &key})
	known := h.acknowledged[key]
	if known == nil {
		known = &acknowledgedJob{submittedAt: h.now}
		h.acknowledged[key] = known
	}
	known.ended = true
}

func (h *history) drop() {
	const retention = 60 * time.Second
	keys := h.replicas[0].machine.Expired(h.reading(), retention)
	for _, key := range keys {
		if age := h.now - h.acknowledged[key].submittedAt; age < retention {
			h.t.Fatalf("%v: expired at the age of %v, want at least %v", key, age, retention)
		}
		delete(h.acknowledged, key)
	}
	h.commit(&Command{Drop: keys})
}

// check compares the queued tokens with those of the pending items, and checks every acknowledged job.
func (h *history) check() {
	for _, tenant := range []string{"tenant-0", "tenant-1"} {
		var sum int64
		for _, pending := range h.replicas[0].machine.PendingJobs() {
			for _, item := range pending.Items {
				if pending.Key.Tenant == tenant {
					sum += item.Tokens
				}
			}
		}
		if got := h.replicas[0].machine.QueuedTokens(tenant, testRoute); got != sum || got > historyQuota {
			h.t.Fatalf("queued tokens of %s: got %d, want %d as of its pending items", tenant, got, sum)
		}
	}
	for key := range h.acknowledged {
		h.checkAcknowledged(key)
	}
}

func TestRandomHistories(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(t, seed)
			for range historySteps {
				h.step()
				h.check()
			}
			h.compareReplicas()
		})
	}
}

// compareReplicas checks that all replicas have the same state, and that each is equal to what its snapshot restores.
func (h *history) compareReplicas() {
	want := h.replicas[0].machine.Snapshot()
	for i, r := range h.replicas {
		h.catchUp(r)
		if !bytes.Equal(r.machine.Snapshot(), want) {
			h.t.Fatalf("replica %d: got a state that differs from the head's, want an equal one", i)
		}
		h.save(r)
		h.crash(r)
		if !bytes.Equal(r.machine.Snapshot(), want) {
			h.t.Fatalf("replica %d: got a different state from its snapshot, want an equal one", i)
		}
	}
}
