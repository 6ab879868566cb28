package main

import (
	"os"
	"testing"

	"nickelline/internal/faultdisk"
	"nickelline/internal/segment"
)

// TestMain runs the tests, or the program itself, on a disk that fails as another process says, if faultdisk.SourceVariable is set: the
// soak test starts this test binary as the processes of a tier.
func TestMain(m *testing.M) {
	if source := os.Getenv(faultdisk.SourceVariable); source != "" {
		diskFileSystem = faultdisk.Controlled(segment.OSFileSystem{}, source)
		main()
		return
	}
	os.Exit(m.Run())
}
