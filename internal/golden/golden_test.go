package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

func TestHexLinesRoundTrip(t *testing.T) {
	for _, size := range []int{0, 1, 31, 32, 33, 100} {
		content := bytes.Repeat([]byte{0xa5}, size)
		got := parseHex(t, "round trip", []byte(hexLines(content)))
		if !bytes.Equal(got, content) {
			t.Errorf("size %d: got %x, want %x", size, got, content)
		}
	}
}

func TestText(t *testing.T) { Text(t, "sample.txt", "one line\n") }

func TestBytes(t *testing.T) {
	want := []byte{0, 1, 2, 0xff}
	if got := Bytes(t, "sample.hex", want); !bytes.Equal(got, want) {
		t.Errorf("Bytes: got %x, want %x", got, want)
	}
}

func TestCopyDirectory(t *testing.T) {
	source := t.TempDir()
	for _, name := range []string{"b", "a/c"} {
		path := filepath.Join(source, name)
		if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte("content of "+name), fileMode); err != nil {
			t.Fatal(err)
		}
	}
	target := CopyDirectory(t, source)
	if got, want := FileNames(t, target), "a/c\nb\n"; got != want {
		t.Errorf("file names: got %q, want %q", got, want)
	}
	if got, err := os.ReadFile(filepath.Join(target, "a", "c")); err != nil || string(got) != "content of a/c" {
		t.Errorf("copied file: got %q, error %v; want %q", got, err, "content of a/c")
	}
}
