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

// Actions of test events, as in cmd/test2json.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// failedTests is how go test ends a package in which tests failed and nothing worse happened.
const failedTests = "exit status 1"

// stillRunning is a line in which a test binary that timed out names a test that has not ended, and since when it runs.
var stillRunning = regexp.MustCompile(`^\t\tTest\S+ \(\S+\)\n$`)

// event is a line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// results gathers what became of the tests.
type results struct {
	module  string
	out     io.Writer
	tests   map[string]string           // outcome of each test function, by folder/TestName
	output  map[string]*strings.Builder // of the tests that run, by package and test
	failed  []string                    // packages that failed
	aborted map[string]string           // packages that did not run all of their tests, and what tells it
}

func newResults(module string, out io.Writer) *results {
	return &results{module: module, out: out, tests: map[string]string{}, output: map[string]*strings.Builder{}, aborted: map[string]string{}}
}

// read takes the events of go test until its output ends. The output of what fails is printed as it ends.
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

// handle handles one line of the output of go test -json.
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
		r.keep(e)
	case actionPass, actionFail, actionSkip:
		r.end(e)
	}
}

// keep holds output back until it is known whether it is of interest.
func (r *results) keep(e event) {
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

func (r *results) end(e event) {
	key := e.Package + " " + e.Test
	if kept := r.output[key]; kept != nil && (e.Action == actionFail || e.Test == "") {
		fmt.Fprint(r.out, kept.String())
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

// printUnfinished prints the output of the tests of a failed package that never ended: a panic or a time-out stands there.
func (r *results) printUnfinished(path string) {
	for key, kept := range r.output {
		if strings.HasPrefix(key, path+" ") {
			fmt.Fprint(r.out, kept.String())
			delete(r.output, key)
		}
	}
}

// folder is a package's path within the module.
func (r *results) folder(path string) string {
	return strings.TrimPrefix(strings.TrimPrefix(path, r.module), "/")
}

// summary is what the results amount to, given the list of known failures.
type summary struct {
	unexpected []string       // failures that are not listed, and listed tests that were not run
	passedOver []knownFailure // listed tests that failed
	mended     []knownFailure // listed tests that passed
	skipped    []knownFailure
}

func (s summary) passed() bool { return len(s.unexpected) == 0 }

// summarize compares the results with the list. succeeded reports whether go test itself did.
func (r *results) summarize(known []knownFailure, succeeded bool) summary {
	var s summary
	listed := map[string]bool{}
	for _, k := range known {
		listed[k.test] = true
		switch r.tests[k.test] {
		case actionFail:
			s.passedOver = append(s.passedOver, k)
		case actionPass:
			s.mended = append(s.mended, k)
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
	if !succeeded && len(s.unexpected) == 0 && len(s.passedOver) == 0 {
		s.unexpected = append(s.unexpected, "go test failed")
	}
	if len(r.tests) == 0 {
		s.unexpected = append(s.unexpected, "no test was run")
	}
	slices.Sort(s.unexpected)
	return s
}

func (s summary) print(out io.Writer) {
	for _, k := range s.passedOver {
		fmt.Fprintf(out, "known failure, passed over: %s (%s; %s)\n", k.test, k.cause, k.issue)
	}
	for _, k := range s.mended {
		fmt.Fprintf(out, "listed as a known failure, but passed: %s (%s; %s)\n", k.test, k.cause, k.issue)
	}
	for _, k := range s.skipped {
		fmt.Fprintf(out, "listed as a known failure, but skipped: %s (%s; %s)\n", k.test, k.cause, k.issue)
	}
	for _, text := range s.unexpected {
		fmt.Fprintln(out, "FAILED:", text)
	}
}
