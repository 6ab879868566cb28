package segment

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"nickelline/internal/golden"
)

func TestFrameFormat(t *testing.T) {
	tests := []struct {
		name string
		file string
		want frame
	}{
		{
			name: "entry",
			file: "frame-entry.hex",
			want: frame{
				kind: entryFrame, ordinal: 0x1112131415161718, unsyncedFrames: 0x21222324,
				entry: Entry{Epoch: 0x3132333435363738, Sequence: 0x4142434445464748, Data: []byte("data of an entry")},
			},
		},
		{
			name: "truncation",
			file: "frame-truncation.hex",
			want: frame{
				kind: truncationFrame, ordinal: 0x5152535455565758, unsyncedFrames: 0x61626364,
				entry: Entry{Epoch: 0x7172737475767778, Sequence: 0x8182838485868788, Data: []byte{}},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stored := golden.Bytes(t, test.file, append(test.want.header(), test.want.entry.Data...))
			got, ok := decodeFrame(stored)
			if !ok || !reflect.DeepEqual(got, test.want) {
				t.Errorf("decoded frame: got %+v, %v, want %+v", got, ok, test.want)
			}
		})
	}
}

func TestRecordFormat(t *testing.T) {
	want := []byte("data of a record")
	name := filepath.Join(t.TempDir(), "record")
	mustSucceed(t, SaveRecord(OSFileSystem{}, name, want))
	stored := golden.Bytes(t, "record.hex", readFile(t, name))
	mustSucceed(t, os.WriteFile(name, stored, filePermissions))
	got, err := LoadRecord(OSFileSystem{}, name)
	if err != nil || string(got) != string(want) {
		t.Errorf("loaded record: got %q, %v, want %q", got, err, want)
	}
}

func TestSnapshotFormat(t *testing.T) {
	want := storedSnapshot{
		Snapshot: Snapshot{Epoch: 0x1112131415161718, Sequence: 0x2122232425262728, Data: []byte("state")},
		ordinal:  0x3132333435363738,
	}
	name := filepath.Join(t.TempDir(), "snapshot")
	mustSucceed(t, saveSnapshot(OSFileSystem{}, name, want))
	stored := golden.Bytes(t, "snapshot.hex", readFile(t, name))
	mustSucceed(t, os.WriteFile(name, stored, filePermissions))
	got, err := loadSnapshot(OSFileSystem{}, name)
	if err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("loaded snapshot: got %+v, %v, want %+v", got, err, want)
	}
}

// TestLogFormat compares the files of a log with the golden files and recovers the log from those. The log has been reset and
// truncated, and has two snapshots.
func TestLogFormat(t *testing.T) {
	const directory = "log"
	written := t.TempDir()
	writeGoldenLog(t, written)
	names := listFiles(t, written)
	golden.Text(t, "log-files.txt", strings.Join(names, "\n")+"\n")
	copied := t.TempDir()
	for _, name := range names {
		stored := golden.Bytes(t, filepath.Join(directory, name+".hex"), readFile(t, filepath.Join(written, name)))
		mustSucceed(t, os.WriteFile(filepath.Join(copied, name), stored, filePermissions))
	}
	log, recovered := openLog(t, copied, Options{})
	if got := recovered.Snapshot; got == nil || got.Epoch != 2 || got.Sequence != 16 || string(got.Data) != "state of 16" {
		t.Errorf("recovered snapshot: got %+v, want that of 16", got)
	}
	checkEntries(t, recovered.Entries, numberedEntries(17, 21))
	mustSucceed(t, log.Append(numberedEntries(22, 22)...))
	mustSucceed(t, log.Close())
	_, recovered = openLog(t, copied, Options{})
	checkEntries(t, recovered.Entries, numberedEntries(17, 22))
}

func writeGoldenLog(t *testing.T, directory string) {
	t.Helper()
	log, _ := openLog(t, directory, Options{SegmentSize: 200})
	mustSucceed(t, log.Append(numberedEntries(1, 3)...))
	mustSucceed(t, log.Reset(Snapshot{Epoch: 1, Sequence: 8, Data: []byte("state of 8")}))
	appendSynced := func(first, last uint64) {
		t.Helper()
		mustSucceed(t, log.Append(numberedEntries(first, last)...))
		mustSucceed(t, log.Sync())
	}
	appendSynced(9, 12)
	mustSucceed(t, log.TruncateAfter(11))
	appendSynced(12, 14)
	mustSucceed(t, log.SaveSnapshot(Snapshot{Epoch: 2, Sequence: 13, Data: []byte("state of 13")}))
	appendSynced(15, 17)
	mustSucceed(t, log.SaveSnapshot(Snapshot{Epoch: 2, Sequence: 16, Data: []byte("state of 16")}))
	appendSynced(18, 21)
	mustSucceed(t, log.Close())
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(name)
	mustSucceed(t, err)
	return content
}

func listFiles(t *testing.T, directory string) []string {
	t.Helper()
	names, err := OSFileSystem{}.List(directory)
	mustSucceed(t, err)
	return names
}
