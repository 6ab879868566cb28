package control

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/chain"
	"nickelline/internal/golden"
	"nickelline/internal/member"
	"nickelline/internal/peer"
	"nickelline/internal/placement"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

// The test in this file opens a data directory of a control replica that an earlier version of the program wrote. It guards
// the format of stored data: names of files, kinds of records and their fields. The directory must never be rewritten: to
// cover a later format, add another directory. -update writes the directory only if it is missing.

const (
	storedDirectory = "testdata/stored/replica"
	// storedAddress is the address of the replica in the stored view. Nothing listens there while the test runs.
	storedAddress = "127.83.83.1:18300"
	testAddress   = "127.0.0.1:0"
)

// storedReplica is a single control process that runs on a data directory.
type storedReplica struct {
	t         *testing.T
	directory string
	control   *Control
	transport *peer.Transport
}

// openStoredReplica opens a data directory as the program does.
func openStoredReplica(t *testing.T, directory, address string, firstStart bool) *storedReplica {
	t.Helper()
	transport, err := peer.Listen(netip.MustParseAddrPort(address), zap.NewNop())
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	replica, _, err := view.LoadIdentity(segment.OSFileSystem{}, directory)
	if err != nil {
		t.Fatalf("load identity: %v", err)
	}
	nodeSettings := &settings.Settings{
		NodeName:      "f-1",
		IP:            transport.Address().Addr(),
		Zone:          "z-1",
		InternalPorts: []uint16{transport.Address().Port(), transport.Address().Port()},
		InitialStart:  firstStart,
		DataDirectory: directory,
		HeartbeatMs:   400,
	}
	nodeSettings.Listen.ControlPlane = netip.MustParseAddrPort(testAddress)
	nodeSettings.SeedNodes = []netip.AddrPort{transport.Address()}
	members := member.New(member.Member{
		Name: nodeSettings.NodeName, Role: controlRole, Zone: nodeSettings.Zone, Address: transport.Address(), Replica: uint64(replica),
	}, nil, transport, zap.NewNop())
	control, err := New(Options{
		Settings: nodeSettings, FileSystem: segment.OSFileSystem{}, Replica: replica, Transport: transport, Members: members,
		Configuration: newRecordingTopic(), Placement: newRecordingTopic(), Log: zap.NewNop(),
	})
	if err != nil {
		transport.Close()
		t.Fatalf("open control replica: %v", err)
	}
	transport.Start()
	return &storedReplica{t: t, directory: directory, control: control, transport: transport}
}

// close stops the process without a change of the view.
func (s *storedReplica) close() {
	s.t.Helper()
	s.control.api.stop()
	if s.control.stop != nil {
		s.control.stop()
		s.control.goroutines.Wait()
	}
	if err := s.control.listener.Close(); !errors.Is(err, net.ErrClosed) {
		s.t.Errorf("close the listener after the server stopped: got %v, want %v", err, net.ErrClosed)
	}
	s.control.node.Close()
	s.transport.Close()
}

// closeWithSnapshot stops the process and returns a snapshot of its state.
func (s *storedReplica) closeWithSnapshot() segment.Snapshot {
	s.t.Helper()
	status := s.control.node.Status()
	snapshot := segment.Snapshot{Epoch: status.Epoch, Sequence: status.Applied, Data: s.control.machine.Snapshot()}
	s.close()
	return snapshot
}

// propose has a command committed and checks its outcome.
func (s *storedReplica) propose(command *Command, want Outcome) {
	s.t.Helper()
	reply, err := s.control.node.Propose(s.t.Context(), mustEncodeCommand(s.t, command))
	if err != nil {
		s.t.Fatalf("propose: %v", err)
	}
	got, err := DecodeResult(reply)
	if err != nil {
		s.t.Fatalf("decode result: %v", err)
	}
	if got.Outcome != want {
		s.t.Fatalf("outcome: got %d (%s), want %d", got.Outcome, got.Text, want)
	}
}

// awaitApplied returns once all entries of the log are applied.
func (s *storedReplica) awaitApplied() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	for {
		err := s.control.node.Barrier(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			s.t.Fatalf("barrier: %v", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// describe returns a text with all data that the replica has stored.
func (s *storedReplica) describe() string {
	s.t.Helper()
	s.awaitApplied()
	var text strings.Builder
	fmt.Fprintf(&text, "identity %d\n", s.control.options.Replica)
	stored := s.control.node.View()
	fmt.Fprintf(&text, "view of chain %d, epoch %d\n", stored.Chain, stored.Epoch)
	describeReplicas(&text, "member", stored.Members)
	describeReplicas(&text, "voter", stored.Voters)
	s.describeAcceptor(&text)
	status := s.control.node.Status()
	fmt.Fprintf(&text, "entries up to %d, complete %v\n", status.LastAppended, status.Complete)
	describeState(s.t, &text, s.control.State())
	return text.String()
}

func describeReplicas(text *strings.Builder, role string, members []view.Member) {
	for _, m := range members {
		fmt.Fprintf(text, "  %s %d %s %s %s joined %d\n", role, m.Replica, m.Name, m.Zone, m.Address, m.Joined)
	}
}

func (s *storedReplica) describeAcceptor(text *strings.Builder) {
	s.t.Helper()
	data, err := segment.LoadRecord(segment.OSFileSystem{}, path.Join(s.directory, "control", "acceptor"))
	if err != nil {
		s.t.Fatalf("load acceptor: %v", err)
	}
	state, seeds, err := view.DecodeAcceptorState(data)
	if err != nil {
		s.t.Fatalf("decode acceptor: %v", err)
	}
	if state.Accepted == nil {
		s.t.Fatal("acceptor: got no accepted view, want one")
	}
	fmt.Fprintf(text, "acceptor of epoch %d, seeds %v, accepted epoch %d\n", state.Epoch, seeds, state.Accepted.View.Epoch)
	describeReplicas(text, "accepted member", state.Accepted.View.Members)
	again, err := view.EncodeAcceptorState(state, seeds)
	if err != nil {
		s.t.Fatalf("encode acceptor: %v", err)
	}
	fmt.Fprintf(text, "  encoded %s\n", hex.EncodeToString(again))
}

func describeState(t *testing.T, text *strings.Builder, state *State) {
	t.Helper()
	fmt.Fprintf(text, "configuration of version %d\n  %s\n", state.Version(), state.EncodedDocument())
	fmt.Fprintf(text, "retirements of revision %d\n", state.RetirementRevision)
	for _, r := range state.Retirements {
		fmt.Fprintf(text, "  %s replica %d within %s completed %v\n", r.Store.Name, r.Store.Replica, r.Duration, r.Completed)
	}
	fmt.Fprintf(text, "quota leaseholders of epoch %d, revision %d\n", state.Leaseholders.Epoch, state.Leaseholders.Revision)
	for _, m := range state.Leaseholders.Members {
		fmt.Fprintf(text, "  %s process %d\n", m.Address, m.Generation)
	}
	fmt.Fprintf(text, "placement of version %d\n", state.PlacementVersion)
	table, err := placement.Decode(state.Placement)
	if err != nil {
		t.Fatalf("decode placement: %v", err)
	}
	for _, partition := range table.Partitions {
		fmt.Fprintf(text, "  partition %d of epoch %d, table %d\n", partition.View.Chain, partition.View.Epoch, table.Version)
		describeReplicas(text, "member", partition.View.Members)
		describeReplicas(text, "learner", partition.Learners)
	}
}

func storedPlacement(t *testing.T, version uint64) []byte {
	t.Helper()
	storeMember := func(n byte, joined uint64) view.Member {
		return view.Member{
			Replica: view.ReplicaID(100 + n), Name: fmt.Sprintf("s-%d", n), Zone: fmt.Sprintf("z-%d", n),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000+uint16(n)), Joined: joined,
		}
	}
	data, err := placement.Encode(placement.Table{Version: version, Partitions: []placement.Partition{
		{View: view.View{Chain: placement.ChainOf(0), Epoch: version + 4, Members: []view.Member{storeMember(1, 2), storeMember(2, 3)}}},
		{
			View:     view.View{Chain: placement.ChainOf(1), Epoch: version + 6, Members: []view.Member{storeMember(3, 5)}},
			Learners: []view.Member{storeMember(4, 0)},
		},
	}})
	if err != nil {
		t.Fatalf("encode placement: %v", err)
	}
	return data
}

func storedLeaseholders(revision uint64, add, remove []Leaseholder) *Command {
	return &Command{ChangeLeaseholders: &ChangeLeaseholders{Epoch: 2, ExpectedRevision: revision, Add: add, Remove: remove}}
}

func storedLeaseholder(n byte) Leaseholder {
	return Leaseholder{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, n}), 7100+uint16(n)), Generation: 1000 + uint64(n)}
}

// refusedChange returns a change that builds on a version that does not exist when it is first proposed, so it stays refused.
func refusedChange() *Command { return patch(9, patchText(12, 70)) }

// writeStoredReplica writes the directory. It then contains a snapshot that replaced the whole log, entries after it, a second
// snapshot that includes these entries, and further entries.
func writeStoredReplica(t *testing.T) {
	t.Helper()
	s := openStoredReplica(t, storedDirectory, storedAddress, true)
	s.control.Start()
	s.awaitApplied()
	s.propose(put(0, documentText(3, 10)), Accepted)
	s.propose(refusedChange(), VersionMismatch)
	s.propose(retire("a", 1), Accepted)
	s.propose(complete("a", 1, 0), Accepted)
	s.propose(retire("b", 2), Accepted)
	s.propose(&Command{ReplacePlacement: &ReplacePlacement{ExpectedRevision: 3, Table: storedPlacement(t, 1)}}, Accepted)
	s.propose(storedLeaseholders(0, []Leaseholder{storedLeaseholder(1), storedLeaseholder(2)}, nil), Accepted)
	writeStoredSnapshot(t, (*segment.Log).Reset, s.closeWithSnapshot())
	s = openStoredReplica(t, storedDirectory, storedAddress, false)
	s.awaitApplied()
	s.propose(patch(3, patchText(5, 20)), Accepted)
	writeStoredSnapshot(t, (*segment.Log).SaveSnapshot, s.closeWithSnapshot())
	s = openStoredReplica(t, storedDirectory, storedAddress, false)
	s.awaitApplied()
	s.propose(patch(5, patchText(9, 30)), Accepted)
	s.propose(&Command{ReplacePlacement: &ReplacePlacement{ExpectedVersion: 1, ExpectedRevision: 3, Table: storedPlacement(t, 2)}}, Accepted)
	s.propose(storedLeaseholders(1, []Leaseholder{storedLeaseholder(3)}, []Leaseholder{storedLeaseholder(1)}), Accepted)
	s.close()
}

// writeStoredSnapshot writes a snapshot to the log by Reset or SaveSnapshot. A replica that learns from another one resets its
// log. Only after Reset does reading the directory depend on the snapshot, as a log with all entries can be read without one.
func writeStoredSnapshot(t *testing.T, write func(*segment.Log, segment.Snapshot) error, snapshot segment.Snapshot) {
	t.Helper()
	directory := path.Join(storedDirectory, chainDirectory, chain.LogDirectory)
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

func TestStoredReplicaOfAnEarlierVersion(t *testing.T) {
	directory := golden.StoredDirectory(t, storedDirectory, writeStoredReplica)
	golden.Text(t, "stored/replica-files.txt", golden.FileNames(t, directory))

	s := openStoredReplica(t, directory, testAddress, false)
	golden.Text(t, "stored/replica.txt", s.describe())
	golden.Text(t, "stored/replica-files.txt", golden.FileNames(t, directory))
	for _, accepted := range []*Command{put(0, documentText(3, 10)), patch(3, patchText(5, 20)), patch(5, patchText(9, 30))} {
		s.propose(accepted, Repeated)
	}
	s.propose(refusedChange(), VersionMismatch)
	s.propose(patch(9, patchText(11, 40)), Accepted)
	s.propose(retire("b", 2), Repeated)
	s.propose(complete("b", 2, 2), Accepted)
	s.propose(storedLeaseholders(2, []Leaseholder{storedLeaseholder(4)}, nil), Accepted)
	want := s.describe()
	golden.Text(t, "stored/replica-appended.txt", want)
	s.close()

	s = openStoredReplica(t, directory, testAddress, false)
	defer s.close()
	golden.Text(t, "stored/replica-appended.txt", s.describe())
	s.propose(refusedChange(), VersionMismatch)
}
