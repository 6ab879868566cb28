package chain

import (
	"net/netip"
	"path"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

func TestFirstStartAndProposalsAtEachReplica(t *testing.T) {
	c := newCluster(t, 3, 3)
	want := uint64(0)
	for i, m := range c.members {
		want += uint64(i + 1)
		if got := c.propose(m, uint64(i+1)); got != want {
			t.Fatalf("sum: got %d, want %d", got, want)
		}
	}
	for i, m := range c.members {
		if got := c.total(m); got != want {
			t.Fatalf("sum at replica %d: got %d, want %d", i, got, want)
		}
	}
}

func TestManyProposalsAtOnce(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 0)
	const count = 300
	results := make(chan error, count)
	for i := range count {
		m := c.members[i%len(c.members)]
		go func() {
			_, err := m.node.Propose(testContext(t), addCommand(1))
			results <- err
		}()
	}
	for range count {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	if got := c.total(c.members[2]); got != count {
		t.Fatalf("sum: got %d, want %d", got, count)
	}
}

func TestLargeCommands(t *testing.T) {
	c := newCluster(t, 3, 3)
	command := append(addCommand(3), make([]byte, 4<<20)...)
	for _, m := range c.members {
		if _, err := m.node.Propose(testContext(t), command); err != nil {
			t.Fatal(err)
		}
	}
	tooLarge := make([]byte, segment.MaximumEntrySize+1)
	if _, err := c.members[0].node.Propose(testContext(t), tooLarge); fault.KindOf(err) != fault.BodyTooLarge {
		t.Fatalf("error: got %v, want kind BodyTooLarge", err)
	}
	if got := c.total(c.members[1]); got != 9 {
		t.Fatalf("sum: got %d, want 9", got)
	}
}

// openFiles is a file system that counts the files that are open.
type openFiles struct {
	segment.FileSystem
	count atomic.Int64
}

// countedFile is a file that openFiles counts as open until it is closed.
type countedFile struct {
	segment.File
	files *openFiles
}

func (o *openFiles) counted(file segment.File, err error) (segment.File, error) {
	if err != nil {
		return nil, err
	}
	o.count.Add(1)
	return &countedFile{File: file, files: o}, nil
}

func (o *openFiles) Create(path string) (segment.File, error) {
	return o.counted(o.FileSystem.Create(path))
}

func (o *openFiles) OpenAppend(path string) (segment.File, error) {
	return o.counted(o.FileSystem.OpenAppend(path))
}

func (f *countedFile) Close() error {
	f.files.count.Add(-1)
	return f.File.Close()
}

// TestFailedOpenClosesTheLog checks that an Open that fails, as the chain is open already, leaves no file open.
func TestFailedOpenClosesTheLog(t *testing.T) {
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	dispatcher := NewDispatcher(transport, zap.NewNop())
	files := &openFiles{FileSystem: segment.OSFileSystem{}}
	open := func(directory string) (*Node, error) {
		return Open(Options{
			Self:            view.Member{Replica: 1, Address: transport.Address()},
			Dispatcher:      dispatcher,
			FileSystem:      files,
			Directory:       directory,
			StateMachine:    &sumMachine{},
			MinimumReplicas: 1,
		})
	}
	first, err := open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	directory := t.TempDir()
	writeLog(t, path.Join(directory, LogDirectory))
	if second, err := open(directory); err == nil {
		second.Close()
		t.Fatal("open a chain that is open already: got no error")
	}
	first.Close()
	if got := files.count.Load(); got != 0 {
		t.Errorf("open files after the failed open and the close: got %d, want 0", got)
	}
}

// writeLog writes a log with one entry.
func writeLog(t *testing.T, directory string) {
	t.Helper()
	log, _, err := segment.Open(segment.OSFileSystem{}, directory, segment.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(segment.Entry{Epoch: 1, Sequence: 1, Data: addCommand(1)}); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}
