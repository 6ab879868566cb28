// Package requirements checks docs/requirements.md.
package requirements

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the root of the repository.
const root = "../../.."

var (
	testReference = regexp.MustCompile("`([a-z]+)\\.(Test[A-Za-z0-9]+)`")
	fileReference = regexp.MustCompile("`([a-z/]+\\.go)`")
)

func page(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs", "requirements.md"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestNamedTestsExist checks that each test that the page names exists in its package.
func TestNamedTestsExist(t *testing.T) {
	references := testReference.FindAllStringSubmatch(page(t), -1)
	if len(references) == 0 {
		t.Fatal("the page names no tests")
	}
	for _, reference := range references {
		if !hasTest(t, reference[1], reference[2]) {
			t.Errorf("package %s has no test %s", reference[1], reference[2])
		}
	}
}

// hasTest reports whether a package has a test.
func hasTest(t *testing.T, name, test string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, "internal", name, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "\nfunc "+test+"(") {
			return true
		}
	}
	return false
}

// TestNamedFilesExist checks that each source file that the page names exists.
func TestNamedFilesExist(t *testing.T) {
	for _, reference := range fileReference.FindAllStringSubmatch(page(t), -1) {
		directory := "internal"
		if strings.HasPrefix(reference[1], "cmd/") {
			directory = "."
		}
		if _, err := os.Stat(filepath.Join(root, directory, reference[1])); err != nil {
			t.Errorf("file: %v", err)
		}
	}
}
