// Command runtests runs the tests of the module and tolerates the failure of those that are known to fail.
//
// It is called with the arguments of go test, from the root of the module. The list of known failures is the file
// KNOWN-RED.txt there, which may be absent. Each of its lines names one test, the cause of its failure and the issue that
// describes it, separated by commas:
//
//	internal/peer/TestReconnect, the old connection is read once more, docs/incidents/open.md
//
// A listed test includes its subtests. The command succeeds if only listed tests failed. It fails if a listed test was not
// run at all, or if a test panicked, even a listed one, because the tests after a panic have not been run.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

const listPath = "KNOWN-RED.txt"

func main() {
	passed, err := run(context.Background(), os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

// run runs go test with the arguments and reports whether all tests passed or are known failures.
func run(ctx context.Context, arguments []string, out io.Writer) (bool, error) {
	known, err := readList(listPath)
	if err != nil {
		return false, err
	}
	module, err := modulePath(ctx)
	if err != nil {
		return false, err
	}
	command := exec.CommandContext(ctx, "go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := command.Start(); err != nil {
		return false, err
	}
	results := newResults(module, out)
	readErr := results.read(events)
	waitErr := command.Wait()
	if readErr != nil {
		return false, readErr
	}
	var exit *exec.ExitError
	if waitErr != nil && !errors.As(waitErr, &exit) {
		return false, waitErr
	}
	summary := results.summarize(known, waitErr == nil)
	summary.print(out)
	return summary.passed(), nil
}

// readList reads the list of known failures. The list is empty if the file does not exist.
func readList(path string) ([]knownFailure, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseList(string(text))
}
