// Package buildpackages checks that the system packages which the deploy files ask for bring all that a build uses besides Go.
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

// used is what the C compiler uses when Go builds with cgo and links externally: its own programs, and files of the C library.
var used = []string{
	programFlag + "cc1", programFlag + "collect2", programFlag + "as", programFlag + "ld",
	fileFlag + "crt1.o", fileFlag + "libc.so.6", fileFlag + "libgcc.a", fileFlag + "libc.so",
}

// header is a file of the C library that each package with cgo includes.
const header = "/usr/include/stdlib.h"

// packagesOf returns the packages that a deploy file asks for.
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

// output runs a program and returns what it prints, without the end of the line.
func output(t *testing.T, name string, arguments ...string) string {
	t.Helper()
	text, err := exec.CommandContext(t.Context(), name, arguments...).Output()
	if err != nil {
		t.Fatalf("%s %v: %v", name, arguments, err)
	}
	return strings.TrimSpace(string(text))
}

// ownerOf returns the package that a file belongs to. A bare name is that of a program.
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
	// Where /lib is a link to /usr/lib, dpkg knows some files by the shorter name.
	for _, name := range []string{resolved, strings.TrimPrefix(resolved, "/usr")} {
		if text, err := exec.CommandContext(t.Context(), "dpkg", "-S", name).Output(); err == nil {
			owner, _, _ := strings.Cut(string(text), ":")
			return owner
		}
	}
	t.Fatalf("no package has %s", resolved)
	return ""
}

// dependenciesOf returns packages and all that they depend on, by the system's list of installed packages.
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

// isInstalled reports whether a package is installed: of alternatives only some are, and virtual packages are not.
func isInstalled(t *testing.T, name string) bool {
	t.Helper()
	return exec.CommandContext(t.Context(), "dpkg-query", "-W", name).Run() == nil
}

func TestDeployFilesListWhatABuildUses(t *testing.T) {
	for _, program := range []string{"dpkg", "dpkg-query", compiler} {
		if _, err := exec.LookPath(program); err != nil {
			t.Skipf("cannot be tested here: %v", err)
		}
	}
	files := []string{header, compiler}
	for _, flag := range used {
		files = append(files, output(t, compiler, flag))
	}
	for _, deploy := range []string{"system.toml", "balancer.toml"} {
		listed := dependenciesOf(t, packagesOf(t, deploy))
		for _, file := range files {
			if owner := ownerOf(t, file); !listed[owner] {
				t.Errorf("deploy/%s: got no package that brings %s, want %s or one that depends on it", deploy, file, owner)
			}
		}
	}
}
