package store

import (
	"context"
	"fmt"
	"net/netip"
	"path"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/batch"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/chain"
	"nickelline/internal/configuration"
	"nickelline/internal/golden"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// The test in this file opens a data directory that a store of an earlier version of the program has written. It guards the
// format of stored data: file names, kinds of records and their fields. The directory is never rewritten: a directory of a
// later format is added beside it. -update writes the directory only if it is missing.

const (
	storedDirectory = "testdata/stored/store"
	// storedAddress is the address in the stored view. Nothing listens there while the test runs.
	storedAddress = "127.83.83.2:18302"
	storedChain   = 1
	storedSource  = 77 // clock source of the head that wrote the directory
	// storedClockStep is the time between two stored commands, and storedClock the time of the partition's clock after the last.
	storedClockStep = 250 * time.Millisecond
	storedClock     = 14 * storedClockStep
	// storedPageBytes is larger than all results together.
	storedPageBytes = 1 << 20
)

func storedSelf() view.Member {
	return view.Member{
		Replica: 4711, Name: "store-7", Zone: "zone-3", Address: netip.MustParseAddrPort(storedAddress), Joined: 1,
	}
}

// Jobs of the stored partition, each in a different state.
var (
	waitingJob     = batch.Key{Tenant: testTenant, Identifier: "waiting"}
	runningJob     = batch.Key{Tenant: testTenant, Identifier: "running"}
	endedJob       = batch.Key{Tenant: testTenant, Identifier: "ended"}
	completeJob    = batch.Key{Tenant: "bolt", Identifier: "complete"}
	endedBeforeJob = batch.Key{Tenant: "bolt", Identifier: "ended before it was taken"}
	laterJob       = batch.Key{Tenant: testTenant, Identifier: "taken after the snapshot"}
	droppedJob     = batch.Key{Tenant: testTenant, Identifier: "dropped"}
	appendedJob    = batch.Key{Tenant: testTenant, Identifier: "taken by this version"}
)

var storedJobs = []batch.Key{waitingJob, runningJob, endedJob, completeJob, endedBeforeJob, laterJob, droppedJob, appendedJob}

// storedJob returns a submission of a job whose items differ in each field.
func storedJob(key batch.Key, items int) *batch.Submit {
	job := batch.Job{Key: key, Route: batch.RouteRef{
		Name: "route of " + key.Identifier,
		Host: strings.ReplaceAll(key.Identifier, " ", "-") + ".example",
	}}
	for i := range items {
		job.Items = append(job.Items, batch.Item{
			Identifier: fmt.Sprintf("item %d", i),
			Path:       fmt.Sprintf("/%s/%d", key.Tenant, i),
			Headers: []batch.Header{
				{Name: "X-Number", Value: fmt.Sprint(i)},
				{Name: "X-Job", Value: key.Identifier},
			},
			Body:   []byte(strings.Repeat(fmt.Sprintf("body %d of %s. ", i, key.Identifier), 2+i%5)),
			Tokens: int64(10 * (i + 1)),
		})
	}
	return &batch.Submit{Job: job, MaxQueuedTokens: 5000}
}

func storedText(text string) []byte { return deflated.Compress([]byte(text)) }

func checkpointOf(key batch.Key, index, from, events uint32, lastEvent, text string) batch.Result {
	return batch.Result{
		Key: key, Index: index, State: batch.Waiting, From: from, Events: events, LastEvent: lastEvent, Content: storedText(text),
	}
}

func completedItem(key batch.Key, index, from uint32, text string) batch.Result {
	return batch.Result{Key: key, Index: index, State: batch.Completed, From: from, Content: storedText(text)}
}

func abandonedItem(key batch.Key, index uint32) batch.Result {
	return batch.Result{Key: key, Index: index, State: batch.Abandoned}
}

// storedCommands returns the commands before the first snapshot, the command between the snapshots, and the commands after the
// second one.
func storedCommands() (before []batch.Command, saving batch.Command, after []batch.Command) {
	before = []batch.Command{
		{Submit: storedJob(waitingJob, 2)},
		{Submit: storedJob(runningJob, 25)}, // large enough to be stored compressed
		{Submit: storedJob(endedJob, 3)},
		{Submit: storedJob(completeJob, 2)},
		{Submit: storedJob(droppedJob, 1)},
		{End: &endedBeforeJob},
		{Append: []batch.Result{
			checkpointOf(runningJob, 3, 0, 2, "event two", "first "),
			checkpointOf(runningJob, 3, 2, 5, "event five", "second "),
			checkpointOf(runningJob, 7, 0, 4, "event four", "unfinished "),
			abandonedItem(runningJob, 1),
			completedItem(endedJob, 2, 0, "text of an ended job"),
		}},
		{Append: []batch.Result{
			completedItem(runningJob, 3, 5, "last"),
			completedItem(completeJob, 1, 0, "one"),
			completedItem(completeJob, 0, 0, "zero"),
		}},
		{End: &endedJob},
		{End: &droppedJob},
	}
	saving = batch.Command{Drop: []batch.Key{droppedJob}}
	after = []batch.Command{
		{Submit: storedJob(laterJob, 2)},
		{Append: []batch.Result{checkpointOf(runningJob, 7, 4, 6, "event six", "after the snapshot ")}},
		{Append: []batch.Result{checkpointOf(laterJob, 0, 0, 1, "event one", "begun ")}},
		{Submit: storedJob(endedBeforeJob, 1)},
	}
	return before, saving, after
}

// writeStoredStore writes the directory: a snapshot that replaces the whole log, an entry, a snapshot after that entry, and further
// entries.
func writeStoredStore(t *testing.T) {
	t.Helper()
	before, saving, after := storedCommands()
	clock := time.Duration(0)
	tick := func(commands []batch.Command) {
		for i := range commands {
			clock += storedClockStep
			commands[i].Clock = batch.ClockReading{Source: storedSource, Elapsed: clock}
		}
	}
	snapshotted := []batch.Command{saving}
	tick(before)
	tick(snapshotted)
	tick(after)
	writeStoredSnapshot(t, (*segment.Log).Reset, writeStoredCommands(t, before))
	writeStoredSnapshot(t, (*segment.Log).SaveSnapshot, writeStoredCommands(t, snapshotted))
	writeStoredCommands(t, after)
}

func storedPartitionDirectory() string {
	return path.Join(storedDirectory, fmt.Sprintf("%s%d", partitionDirectoryPrefix, storedChain))
}

// writeStoredSnapshot writes a snapshot to the log with Reset or SaveSnapshot. A replica that catches up from another one by a
// snapshot resets its log. Only after a reset does reading the directory depend on the snapshot: a log that has all entries can be
// read without one.
func writeStoredSnapshot(t *testing.T, write func(*segment.Log, segment.Snapshot) error, snapshot segment.Snapshot) {
	t.Helper()
	directory := path.Join(storedPartitionDirectory(), chain.LogDirectory)
	log, _, err := segment.Open(segment.OSFileSystem{}, directory, segment.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := write(log, snapshot); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// writeStoredCommands commits commands with the replica in the directory, and returns a snapshot of the state after them.
func writeStoredCommands(t *testing.T, commands []batch.Command) segment.Snapshot {
	t.Helper()
	transport, err := peer.Listen(netip.MustParseAddrPort(storedAddress), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	state := newState()
	node, err := chain.Open(chain.Options{
		Chain:           storedChain,
		Self:            storedSelf(),
		Dispatcher:      chain.NewDispatcher(transport, zap.NewNop()),
		FileSystem:      segment.OSFileSystem{},
		Directory:       storedPartitionDirectory(),
		StateMachine:    state,
		MinimumReplicas: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	transport.Start()
	node.Install(view.View{Chain: storedChain, Epoch: 1, Members: []view.Member{storedSelf()}})
	node.Install(view.View{Chain: storedChain, Epoch: 3, Members: []view.Member{storedSelf()}})
	awaitBarrier(t, node)
	for i := range commands {
		encoded, err := batch.EncodeCommand(&commands[i])
		if err != nil {
			t.Fatal(err)
		}
		result, err := node.Propose(t.Context(), encoded)
		if err != nil || batch.DecodeOutcome(result) != batch.Done {
			t.Fatalf("command %d: got outcome %v, %v, want it done", i, result, err)
		}
	}
	status := node.Status()
	return segment.Snapshot{Epoch: status.Epoch, Sequence: status.Applied, Data: state.Snapshot()}
}

// awaitBarrier waits until everything that was committed has been applied.
func awaitBarrier(t *testing.T, r replica) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for {
		err := r.Barrier(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("barrier: %v", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// storedStore is a store on a data directory. It runs no items, because it has no configuration.
type storedStore struct {
	t         *testing.T
	service   *Service
	transport *peer.Transport
	partition *partition
}

// openStoredStore opens a data directory as the program does.
func openStoredStore(t *testing.T, directory string) *storedStore {
	t.Helper()
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	self := storedSelf()
	self.Address = transport.Address()
	service, err := New(Options{
		Self:            self,
		Transport:       transport,
		Dispatcher:      chain.NewDispatcher(transport, zap.NewNop()),
		FileSystem:      segment.OSFileSystem{},
		Directory:       directory,
		MinimumReplicas: 1,
		MemoryMB:        344,
		Admission:       &fakeAdmission{refuse: true},
		Configuration:   func() (*configuration.Current, bool) { return nil, false },
		ControlNodes:    func() []netip.AddrPort { return nil },
		ReportInterval:  time.Hour,
		Log:             zap.NewNop(),
	})
	if err != nil {
		transport.Close()
		t.Fatalf("open store: %v", err)
	}
	transport.Start()
	opened := service.partitions[storedChain]
	if opened == nil {
		t.Fatalf("opened partitions: got %d, want chain %d among them", len(service.partitions), storedChain)
	}
	awaitBarrier(t, opened.node)
	return &storedStore{t: t, service: service, transport: transport, partition: opened.partition}
}

func (s *storedStore) close() {
	s.service.Close()
	s.transport.Close()
}

func (s *storedStore) propose(command *batch.Command) {
	s.t.Helper()
	outcome, err := s.partition.propose(s.t.Context(), command)
	if err != nil || outcome != batch.Done {
		s.t.Fatalf("propose: got outcome %d, %v, want it done", outcome, err)
	}
}

// checkClock compares the partition's clock with the stored one, and allows for the time that has passed since the store was opened.
func (s *storedStore) checkClock() {
	s.t.Helper()
	s.partition.state.read(func(m *batch.Machine) {
		if got := m.Now(batch.ClockReading{}); got < storedClock || got > storedClock+time.Minute {
			s.t.Errorf("clock: got %v, want %v or a little more", got, storedClock)
		}
	})
}

// describe renders the stored state of the partition.
func (s *storedStore) describe() string {
	s.t.Helper()
	var text strings.Builder
	stored := s.partition.replica.View()
	fmt.Fprintf(&text, "view of chain %d, epoch %d\n", stored.Chain, stored.Epoch)
	for _, m := range stored.Members {
		fmt.Fprintf(&text, "  member %d %s %s %s joined %d\n", m.Replica, m.Name, m.Zone, m.Address, m.Joined)
	}
	s.partition.state.read(func(m *batch.Machine) {
		fmt.Fprintf(&text, "jobs %d\n", m.Jobs())
		for _, key := range storedJobs {
			s.describeJob(&text, m, key)
		}
		for _, open := range m.PendingJobs() {
			fmt.Fprintf(&text, "open %s\n", open.Key.Identifier)
		}
	})
	return text.String()
}

func (s *storedStore) describeJob(text *strings.Builder, m *batch.Machine, key batch.Key) {
	s.t.Helper()
	page, known := m.Results(key, 0, storedPageBytes)
	fmt.Fprintf(text, "job %q of %s: known %v, items %d, closed %v\n", key.Identifier, key.Tenant, known, page.Total, page.Closed)
	for position, result := range page.Results {
		content, err := deflated.Expand(result.Content)
		if err != nil {
			s.t.Fatalf("expand result: %v", err)
		}
		fmt.Fprintf(text, "  result at %d: %s, state %d, %q\n", position, result.Identifier, result.State, content)
	}
	open, ok := m.PendingJob(key)
	if !ok {
		return
	}
	fmt.Fprintf(text, "  open: route %q, host %q, born %s, queued tokens %d\n", open.Route.Name, open.Route.Host, describeSubmittedAt(open.SubmittedAt),
		m.QueuedTokens(key.Tenant, open.Route.Name))
	for _, item := range open.Items {
		fmt.Fprintf(text, "  item %d: %s %s %q %q tokens %d, %d events up to %q\n", item.Index, item.Identifier, item.Path,
			item.Headers, item.Body, item.Tokens, item.Events, item.LastEvent)
	}
}

// describeSubmittedAt renders the time of submission of a job, or "later" if that is after the stored log.
func describeSubmittedAt(submittedAt time.Duration) string {
	if submittedAt > storedClock {
		return "later"
	}
	return submittedAt.String()
}

func TestStoredPartitionOfAnEarlierVersion(t *testing.T) {
	directory := golden.StoredDirectory(t, storedDirectory, writeStoredStore)
	golden.Text(t, "stored/store-files.txt", golden.FileNames(t, directory))

	s := openStoredStore(t, directory)
	golden.Text(t, "stored/store.txt", s.describe())
	golden.Text(t, "stored/store-files.txt", golden.FileNames(t, directory))
	s.checkClock()
	s.propose(&batch.Command{Append: []batch.Result{
		completedItem(runningJob, 7, 6, "and completed by this version"),
		checkpointOf(laterJob, 0, 1, 3, "event three", "continued "),
		completedItem(waitingJob, 1, 0, "run by this version"),
	}})
	s.propose(&batch.Command{Append: []batch.Result{completedItem(laterJob, 0, 3, "and ended")}})
	s.propose(&batch.Command{Submit: storedJob(appendedJob, 2)})
	s.propose(&batch.Command{Submit: storedJob(waitingJob, 9)}) // submitted before: changes nothing
	s.propose(&batch.Command{End: &waitingJob})
	s.propose(&batch.Command{Drop: []batch.Key{completeJob}})
	golden.Text(t, "stored/store-appended.txt", s.describe())
	s.close()

	s = openStoredStore(t, directory)
	defer s.close()
	golden.Text(t, "stored/store-appended.txt", s.describe())
	s.checkClock()
}
