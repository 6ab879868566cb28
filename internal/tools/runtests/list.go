package main

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
)

// knownFailure is an entry of the list of known failures.
type knownFailure struct {
	test  string // folder of the package, a slash and the name of the test function
	cause string
	issue string
}

// parseList parses the list of known failures. Empty lines and lines that begin with # are ignored.
func parseList(text string) ([]knownFailure, error) {
	var known []knownFailure
	seen := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", listPath, i+1, err)
		}
		if seen[k.test] {
			return nil, fmt.Errorf("%s, line %d: %s is listed twice", listPath, i+1, k.test)
		}
		seen[k.test] = true
		known = append(known, k)
	}
	return known, nil
}

// parseLine parses a test, a cause and an issue, separated by commas. The cause may contain commas.
func parseLine(line string) (knownFailure, error) {
	test, rest, _ := strings.Cut(line, ",")
	last := strings.LastIndex(rest, ",")
	if last < 0 {
		return knownFailure{}, fmt.Errorf("%q is not of the form: test, cause, issue", line)
	}
	k := knownFailure{
		test:  strings.TrimSpace(test),
		cause: strings.TrimSpace(rest[:last]),
		issue: strings.TrimSpace(rest[last+1:]),
	}
	if k.cause == "" || k.issue == "" {
		return knownFailure{}, fmt.Errorf("%q has no cause or no issue", line)
	}
	_, function, hasFolder := cutLast(k.test, "/")
	if !hasFolder || !strings.HasPrefix(function, "Test") || strings.ContainsAny(k.test, " \t") {
		return knownFailure{}, fmt.Errorf("%q does not name a test as folder/TestName", k.test)
	}
	return k, nil
}

// cutLast is like strings.Cut, but cuts around the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(separator):], true
}

// modulePath returns the path of the module in the current directory.
func modulePath(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-m").Output()
	if err != nil {
		return "", fmt.Errorf("go list -m: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}
