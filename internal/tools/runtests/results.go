package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Actions of test events, as defined by cmd/test2json.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// failedTests is the exit line in the output of a package in which tests failed but the test binary did not crash.
const failedTests = "exit status 1"

// stillRunning matches a line in which a test binary that timed out names a running test and how long it has been running.
var stillRunning = regexp.MustCompile(`^\t\tTest\S+ \(\S+\)\n$`)

// event is a line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// results collects the outcomes of the tests.
type results struct {
	module  string
	out     io.Writer
	tests   map[string]string           // outcome of each test function, by folder/TestName
	output  map[string]*strings.Builder // buffered output of the running tests, by package and test
	failed  []string                    // packages that failed
	aborted map[string]string           // packages that did not run all of their tests, with the output that shows it
}

func newResults(module string, out io.Writer) *results {
	return &results{module: module, out: out, tests: map[string]string{}, output: map[string]*strings.Builder{}, aborted: map[string]string{}}
}

// read processes the events of go test until its output ends. The output of a failed test is printed when the test ends.
func (r *results) read(events io.Reader) error {
	lines := bufio.NewReader(events)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			r.handle(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handle processes one line of the output of go test -json. A line that is not an event is printed.
func (r *results) handle(line []byte) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		fmt.Fprintf(r.out, "%s", line)
		return
	}
	switch e.Action {
	case actionBuildOutput:
		fmt.Fprint(r.out, e.Output)
	case actionOutput:
		r.buffer(e)
	case actionPass, actionFail, actionSkip:
		r.finish(e)
	}
}

// buffer keeps the output of a test until its outcome is known, and detects that a test binary ended early.
func (r *results) buffer(e event) {
	key := e.Package + " " + e.Test
	if r.output[key] == nil {
		r.output[key] = &strings.Builder{}
	}
	r.output[key].WriteString(e.Output)
	text := strings.TrimSpace(e.Output)
	if strings.HasPrefix(e.Output, "panic: ") || strings.HasPrefix(e.Output, "fatal error: ") ||
		strings.HasPrefix(text, "exit status ") && text != failedTests || strings.HasPrefix(e.Output, "signal: ") {
		r.aborted[e.Package] = text
	}
	if cause := r.aborted[e.Package]; cause != "" && stillRunning.MatchString(e.Output) {
		r.aborted[e.Package] = cause + ", in " + text
	}
}

// finish records the outcome of a test or a package. It prints the output of a failed test and of every package.
func (r *results) finish(e event) {
	key := e.Package + " " + e.Test
	if buffered := r.output[key]; buffered != nil && (e.Action == actionFail || e.Test == "") {
		fmt.Fprint(r.out, buffered.String())
	}
	delete(r.output, key)
	if e.Test == "" {
		if e.Action == actionFail {
			r.failed = append(r.failed, e.Package)
			r.printUnfinished(e.Package)
		}
		return
	}
	if function, _, subtest := strings.Cut(e.Test, "/"); !subtest {
		r.tests[r.folder(e.Package)+"/"+function] = e.Action
	}
}

// printUnfinished prints the output of the tests of a failed package that never ended. It contains the panic or the timeout.
func (r *results) printUnfinished(path string) {
	for key, buffered := range r.output {
		if strings.HasPrefix(key, path+" ") {
			fmt.Fprint(r.out, buffered.String())
			delete(r.output, key)
		}
	}
}

// folder returns a package's path relative to the module.
func (r *results) folder(path string) string {
	return strings.TrimPrefix(strings.TrimPrefix(path, r.module), "/")
}

// summary holds the results that matter for CI, sorted by the list of known failures.
type summary struct {
	unexpected []string       // failures that are not listed, and listed tests that were not run
	tolerated  []knownFailure // listed tests that failed
	nowPassing []knownFailure // listed tests that passed
	skipped    []knownFailure
}

func (s summary) passed() bool { return len(s.unexpected) == 0 }

// summarize compares the results with the list. succeeded tells whether go test exited with status 0.
func (r *results) summarize(known []knownFailure, succeeded bool) summary {
	var s summary
	listed := map[string]bool{}
	for _, k := range known {
		listed[k.test] = true
		switch r.tests[k.test] {
		case actionFail:
			s.tolerated = append(s.tolerated, k)
		case actionPass:
			s.nowPassing = append(s.nowPassing, k)
		case actionSkip:
			s.skipped = append(s.skipped, k)
		default:
			s.unexpected = append(s.unexpected, k.test+" is listed and was not run")
		}
	}
	explained := map[string]bool{} // packages with a failed test
	for test, outcome := range r.tests {
		if outcome != actionFail {
			continue
		}
		folder, _, _ := cutLast(test, "/")
		explained[folder] = true
		if !listed[test] {
			s.unexpected = append(s.unexpected, test)
		}
	}
	for _, path := range r.failed {
		folder := r.folder(path)
		if cause := r.aborted[path]; cause != "" {
			s.unexpected = append(s.unexpected, fmt.Sprintf("%s ended early: %s", folder, cause))
		} else if !explained[folder] {
			s.unexpected = append(s.unexpected, folder+" failed outside of its tests")
		}
	}
	if !succeeded && len(s.unexpected) == 0 && len(s.tolerated) == 0 {
		s.unexpected = append(s.unexpected, "go test failed")
	}
	if len(r.tests) == 0 {
		s.unexpected = append(s.unexpected, "no test was run")
	}
	slices.Sort(s.unexpected)
	return s
}

func (s summary) print(out io.Writer) {
	for _, k := range s.tolerated {
		fmt.Fprintf(out, "known failure, tolerated: %s (%s; %s)\n", k.test, k.cause, k.issue)
	}
	for _, k := range s.nowPassing {
		fmt.Fprintf(out, "listed as a known failure, but passed: %s (%s; %s)\n", k.test, k.cause, k.issue)
	}
	for _, k := range s.skipped {
		fmt.Fprintf(out, "listed as a known failure, but skipped: %s (%s; %s)\n", k.test, k.cause, k.issue)
	}
	for _, text := range s.unexpected {
		fmt.Fprintln(out, "FAILED:", text)
	}
}
