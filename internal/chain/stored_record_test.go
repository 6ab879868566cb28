package chain

import (
	"testing"

	"nickelline/internal/golden"
	"nickelline/internal/segment"
)

// TestStoredRecordOfAnEarlierVersion reads records that an earlier version stored, and checks their fields, which no
// operation of a replica shows.
func TestStoredRecordOfAnEarlierVersion(t *testing.T) {
	tests := []struct {
		name      string
		directory string
		want      Record // without its view
		epoch     uint64
	}{
		{name: "control replica", directory: "../control/testdata/stored/replica/control", want: Record{CompleteEpoch: 0, Generation: 3}, epoch: 1},
		{name: "store partition", directory: "../store/testdata/stored/store/partition-1", want: Record{CompleteEpoch: 0, Generation: 3}, epoch: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			directory := golden.CopyDirectory(t, test.directory)
			got, err := loadRecord(Options{FileSystem: segment.OSFileSystem{}, Directory: directory})
			if err != nil {
				t.Fatalf("load record: %v", err)
			}
			if got.View.Epoch != test.epoch || got.CompleteEpoch != test.want.CompleteEpoch || got.Generation != test.want.Generation {
				t.Errorf("record: got %+v, want epoch %d and %+v", got, test.epoch, test.want)
			}
		})
	}
}
