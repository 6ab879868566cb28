package main

import (
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"
)

const module = "example"

func outcome(action, pkg, test string) event {
	return event{Action: action, Package: module + "/" + pkg, Test: test}
}

func output(pkg, test, text string) event {
	return event{Action: actionOutput, Package: module + "/" + pkg, Test: test, Output: text}
}

func resultsOf(t *testing.T, out io.Writer, events ...event) *results {
	t.Helper()
	var text strings.Builder
	for _, e := range events {
		line, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(line)
		text.WriteByte('\n')
	}
	r := newResults(module, out)
	if err := r.read(strings.NewReader(text.String())); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestSummarize(t *testing.T) {
	listed := []knownFailure{{"a/TestOld", "cause", "issue"}}
	good := []event{outcome(actionPass, "a", "TestGood"), outcome(actionPass, "a", "TestOld"), outcome(actionPass, "a", "")}
	bad := []event{outcome(actionPass, "a", "TestGood"), outcome(actionFail, "a", "TestOld/sub"), outcome(actionFail, "a", "TestOld"),
		output("a", "", "exit status 1\n"), outcome(actionFail, "a", "")}
	for name, c := range map[string]struct {
		events     []event
		known      []knownFailure
		succeeded  bool
		unexpected []string
		tolerated  int
		nowPassing int
	}{
		"all pass":                    {good, nil, true, nil, 0, 0},
		"a listed test passes":        {good, listed, true, nil, 0, 1},
		"a listed test fails":         {bad, listed, false, nil, 1, 0},
		"another test fails":          {bad, nil, false, []string{"a/TestOld"}, 0, 0},
		"a listed test was not run":   {good[:1], listed, true, []string{"a/TestOld is listed and was not run"}, 0, 0},
		"a package does not build":    {append(slices.Clone(good), outcome(actionFail, "b", "")), nil, false, []string{"b failed outside of its tests"}, 0, 0},
		"go test itself fails":        {good, nil, false, []string{"go test failed"}, 0, 0},
		"nothing is run":              {nil, nil, true, []string{"no test was run"}, 0, 0},
		"a panic in a listed test":    {append([]event{output("a", "TestOld", "panic: x\n")}, bad...), listed, false, []string{"a ended early: panic: x"}, 1, 0},
		"a time-out in a listed test": {append([]event{output("a", "", "exit status 2\n")}, bad...), listed, false, []string{"a ended early: exit status 2"}, 1, 0},
		"a time-out tells what ran": {append([]event{output("a", "TestOld", "panic: test timed out after 5m0s\n"), output("a", "TestOld", "\trunning tests:\n"),
			output("a", "TestOld", "\t\tTestOld (4m59s)\n")}, bad...), listed, false, []string{"a ended early: panic: test timed out after 5m0s, in TestOld (4m59s)"}, 1, 0},
		"a listed and another one": {append([]event{outcome(actionFail, "a", "TestNew")}, bad...), listed, false,
			[]string{"a/TestNew"}, 1, 0},
	} {
		v := resultsOf(t, io.Discard, c.events...).summarize(c.known, c.succeeded)
		if !slices.Equal(v.unexpected, c.unexpected) || len(v.tolerated) != c.tolerated || len(v.nowPassing) != c.nowPassing {
			t.Errorf("%s: got %+v, want unexpected %q, %d tolerated, %d now passing", name, v, c.unexpected, c.tolerated, c.nowPassing)
		}
		if v.passed() != (len(c.unexpected) == 0) {
			t.Errorf("%s: passed: got %v, want %v", name, v.passed(), len(c.unexpected) == 0)
		}
	}
}

func TestOutputOfFailuresIsPrinted(t *testing.T) {
	var out strings.Builder
	resultsOf(t, &out,
		output("a", "TestGood", "quiet\n"), outcome(actionPass, "a", "TestGood"),
		output("a", "TestBad", "loud\n"), outcome(actionFail, "a", "TestBad"),
		output("a", "", "FAIL a\n"), outcome(actionFail, "a", ""))
	if out.String() != "loud\nFAIL a\n" {
		t.Errorf("printed %q, want only the output of the failed test and package", out.String())
	}
}

// A test that is cut off by a timeout has no event for its end. Its output and the stack traces must be printed nevertheless.
func TestOutputOfUnendedTestsIsPrinted(t *testing.T) {
	var out strings.Builder
	resultsOf(t, &out,
		output("b", "TestOther", "still running\n"),
		output("a", "TestStuck", "panic: test timed out\n"), output("a", "TestStuck", "goroutine 1\n"),
		output("a", "", "FAIL a\n"), outcome(actionFail, "a", ""))
	if got := out.String(); got != "FAIL a\npanic: test timed out\ngoroutine 1\n" {
		t.Errorf("printed %q, want the output of the failed package and of its unfinished test", got)
	}
}

func TestParseList(t *testing.T) {
	known, err := parseList("# comment\n\ninternal/a/TestOne, slow, on some days, docs/x.md\ndecide/TestTwo,c,i\n")
	want := []knownFailure{{"internal/a/TestOne", "slow, on some days", "docs/x.md"}, {"decide/TestTwo", "c", "i"}}
	if err != nil || !slices.Equal(known, want) {
		t.Errorf("got %+v, %v, want %+v", known, err, want)
	}
	for _, text := range []string{"a/TestOne", "a/TestOne, cause", "TestOne, cause, issue", "a/One, cause, issue", "a/TestOne, , issue",
		"a/TestOne, cause, ", "a/Test One, cause, issue", "a/TestOne, c, i\na/TestOne, c, i"} {
		if known, err := parseList(text); err == nil {
			t.Errorf("%q: got %+v, want an error", text, known)
		}
	}
}
