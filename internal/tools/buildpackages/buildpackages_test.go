// Package buildpackages checks that the Debian packages listed in the deploy files provide everything that a build uses
// besides Go.
package buildpackages

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const (
	root        = "../../.."
	compiler    = "gcc"
	programFlag = "-print-prog-name="
	fileFlag    = "-print-file-name="
)

// toolchainFlags make the C compiler print the programs and the files of the C library that it uses when Go builds with cgo
// and links externally.
var toolchainFlags = []string{
	programFlag + "cc1", programFlag + "collect2", programFlag + "as", programFlag + "ld",
	fileFlag + "crt1.o", fileFlag + "libc.so.6", fileFlag + "libgcc.a", fileFlag + "libc.so",
}

// header is a file of the C library that every package with cgo includes.
const header = "/usr/include/stdlib.h"

// packagesOf returns the packages that a deploy file lists.
func packagesOf(t *testing.T, name string) []string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, "deploy", name))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct {
		Packages []string `toml:"packages"`
	}
	if err := toml.Unmarshal(data, &deploy); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return deploy.Packages
}

// output runs a program and returns its standard output without surrounding white space.
func output(t *testing.T, name string, arguments ...string) string {
	t.Helper()
	text, err := exec.CommandContext(t.Context(), name, arguments...).Output()
	if err != nil {
		t.Fatalf("%s %v: %v", name, arguments, err)
	}
	return strings.TrimSpace(string(text))
}

// ownerOf returns the package that a file belongs to. A name that is not an absolute path is looked up as a program in PATH.
func ownerOf(t *testing.T, file string) string {
	t.Helper()
	found, err := exec.LookPath(file)
	if filepath.IsAbs(file) {
		found, err = file, nil
	}
	if err != nil {
		t.Fatal(err)
	}
	resolved, err := filepath.EvalSymlinks(found)
	if err != nil {
		t.Fatal(err)
	}
	// Where /lib is a link to /usr/lib, dpkg records some files under the path without /usr.
	for _, name := range []string{resolved, strings.TrimPrefix(resolved, "/usr")} {
		if text, err := exec.CommandContext(t.Context(), "dpkg", "-S", name).Output(); err == nil {
			owner, _, _ := strings.Cut(string(text), ":")
			return owner
		}
	}
	t.Fatalf("no package owns %s", resolved)
	return ""
}

// dependenciesOf returns the packages and their installed transitive dependencies, as recorded by dpkg.
func dependenciesOf(t *testing.T, packages []string) map[string]bool {
	t.Helper()
	all := make(map[string]bool)
	for pending := slices.Clone(packages); len(pending) > 0; {
		name := pending[0]
		pending = pending[1:]
		if all[name] {
			continue
		}
		all[name] = true
		for _, alternatives := range strings.Split(output(t, "dpkg-query", "-W", "-f", "${Depends},${Pre-Depends}", name), ",") {
			for _, alternative := range strings.Split(alternatives, "|") {
				if fields := strings.Fields(alternative); len(fields) > 0 && isInstalled(t, fields[0]) {
					pending = append(pending, fields[0])
				}
			}
		}
	}
	return all
}

// isInstalled reports whether a package is installed. Alternative dependencies may not be, and virtual packages
// never are.
func isInstalled(t *testing.T, name string) bool {
	t.Helper()
	return exec.CommandContext(t.Context(), "dpkg-query", "-W", name).Run() == nil
}

func TestDeployFilesListBuildPackages(t *testing.T) {
	for _, program := range []string{"dpkg", "dpkg-query", compiler} {
		if _, err := exec.LookPath(program); err != nil {
			t.Skipf("needs dpkg and %s: %v", compiler, err)
		}
	}
	files := []string{header, compiler}
	for _, flag := range toolchainFlags {
		files = append(files, output(t, compiler, flag))
	}
	for _, deploy := range []string{"system.toml", "balancer.toml"} {
		listed := dependenciesOf(t, packagesOf(t, deploy))
		for _, file := range files {
			if owner := ownerOf(t, file); !listed[owner] {
				t.Errorf("deploy/%s: got no package that provides %s, want %s or one that depends on it", deploy, file, owner)
			}
		}
	}
}
