package segment

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestRecordRoundTrip(t *testing.T) {
	name := filepath.Join(t.TempDir(), "record")
	if _, err := LoadRecord(OSFileSystem{}, name); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("load of a missing record: got %v, want os.ErrNotExist", err)
	}
	for _, data := range [][]byte{[]byte("first"), nil, bytes.Repeat([]byte("x"), 2*directWriteSize)} {
		mustSucceed(t, SaveRecord(OSFileSystem{}, name, data))
		got, err := LoadRecord(OSFileSystem{}, name)
		mustSucceed(t, err)
		if !bytes.Equal(got, data) {
			t.Fatalf("data: got %d bytes, want %d", len(got), len(data))
		}
	}
	flipBit(t, name, 5)
	if _, err := LoadRecord(OSFileSystem{}, name); !errors.Is(err, ErrDamaged) {
		t.Fatalf("load of a damaged record: got %v, want ErrDamaged", err)
	}
}
