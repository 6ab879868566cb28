// Package golden compares the output of a test with a file that is committed under testdata.
//
// A golden file records a format that other programs or other versions rely on: messages on the wire, records on disk,
// responses of the APIs. A test that fails against its golden file has found a change of that format. Run the test with
// -update to rewrite the files, and review the difference before committing it.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Text fails the test unless got equals the content of the named file below testdata.
func Text(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		write(t, path, got)
	}
	want := Read(t, name)
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// Bytes fails the test unless got equals the bytes that the named file below testdata holds as a hex dump. It returns
// the bytes of the file, so that a test can decode what an earlier version has written.
func Bytes(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		write(t, path, hexLines(got))
	}
	want := parseHex(t, path, Read(t, name))
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, hexLines(got), hexLines(want))
	}
	return want
}

// Read returns the content of the named file below testdata.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatalf("read golden file: %v", err)
	}
	return content
}

// ReadBytes returns the bytes that the named file below testdata holds as a hex dump. It is for formats that are still
// read but no longer written, so -update does not rewrite the file.
func ReadBytes(t *testing.T, name string) []byte {
	t.Helper()
	return parseHex(t, name, Read(t, name))
}

// Updating reports whether the test runs with -update, which rewrites its golden files.
func Updating() bool { return *update }

func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		t.Fatalf("create directory of golden file: %v", err)
	}
	if err := os.WriteFile(path, []byte(content), fileMode); err != nil {
		t.Fatalf("write golden file: %v", err)
	}
}

// hexLines returns a hex dump with 32 bytes per line.
func hexLines(content []byte) string {
	const bytesPerLine = 32
	var lines bytes.Buffer
	for len(content) > 0 {
		count := min(bytesPerLine, len(content))
		lines.WriteString(hex.EncodeToString(content[:count]))
		lines.WriteByte('\n')
		content = content[count:]
	}
	return lines.String()
}

func parseHex(t *testing.T, path string, lines []byte) []byte {
	t.Helper()
	content, err := hex.DecodeString(string(bytes.Join(bytes.Fields(lines), nil)))
	if err != nil {
		t.Fatalf("%s: not a hex dump: %v", path, err)
	}
	return content
}
