package proxy

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/golden"
)

var (
	// retryAfterField is a Retry-After field. Its value is drawn at random, in seconds with three decimals.
	retryAfterField = regexp.MustCompile(`^Retry-After: \d+\.\d{3}$`)
	// dateField is the time of an answer that hertz gives by itself.
	dateField = regexp.MustCompile(`^Date: \w{3}, \d\d \w{3} \d{4} \d\d:\d\d:\d\d GMT$`)
)

// rawAnswer sends a request on a connection of its own, and returns the answer as it was written, up to the end of the
// connection. The header fields are sorted, since their order is not fixed.
func rawAnswer(t *testing.T, s *tier, request string) string {
	t.Helper()
	c := s.connect(t)
	c.send(t, request)
	written, err := io.ReadAll(c.reader)
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	return normalAnswer(string(written))
}

func normalAnswer(written string) string {
	head, body, found := strings.Cut(written, "\r\n\r\n")
	if !found {
		return fmt.Sprintf("%q\n", written)
	}
	lines := strings.Split(head, "\r\n")
	for i, line := range lines {
		line = retryAfterField.ReplaceAllString(line, "Retry-After: SECONDS")
		lines[i] = dateField.ReplaceAllString(line, "Date: TIME")
	}
	slices.Sort(lines[1:])
	return fmt.Sprintf("%s\n%q\n", strings.Join(lines, "\n"), body)
}

const closeField = "Connection: close\r\n"

// closingRequest returns the text of a request after whose answer the connection is closed.
func closingRequest(method, target, body string) string {
	return strings.Replace(requestText(target, closeField, body), "POST", method, 1)
}

// The answer to each kind of error, as written.
func TestGoldenErrorAnswers(t *testing.T) {
	var answers strings.Builder
	for _, kind := range fault.Kinds() {
		api := &fakeBatch{fail: fault.New(kind, "cause")}
		s := startTier(t, func(o *Options) { o.Batch = api })
		answer := rawAnswer(t, s, closingRequest("POST", "/batch/7c", "{}"))
		fmt.Fprintf(&answers, "== %s\n%s\n", kind, answer)
	}
	golden.Text(t, "error_answers.txt", answers.String())
}

// Answers to requests that the proxy refuses by itself, as written.
func TestGoldenRefusals(t *testing.T) {
	valid := closingRequest("POST", "/many/x", "body")
	replaced := func(old, replacement string) string { return strings.Replace(valid, old, replacement, 1) }
	var answers strings.Builder
	for _, c := range []struct {
		name, request string
		change        func(*tier)
	}{
		{name: "no backend", request: valid},
		{name: "no route", request: replaced("/many/x", "/other/x")},
		{name: "unknown key", request: replaced(testKey, "k9")},
		{name: "no attempt id", request: replaced("Nickelline-Attempt-Id: "+testID+"\r\n", "")},
		{name: "no host", request: replaced("Host: "+testHost+"\r\n", "")},
		{name: "two hosts", request: replaced("Host:", "Host: other\r\nHost:")},
		{name: "HTTP/1.0", request: replaced("HTTP/1.1", "HTTP/1.0")},
		{name: "absolute target", request: replaced("/many/x", "http://h.example/many/x")},
		{name: "two lengths", request: replaced("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4")},
		{name: "length and chunks", request: replaced("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked")},
		{name: "header too large", request: replaced(closeField, closeField+"X: "+strings.Repeat("x", 17<<10)+"\r\n")},
		{name: "body too large", request: closingRequest("POST", "/many/x", strings.Repeat("x", 65537))},
		{name: "stale proof", request: valid, change: func(s *tier) { s.setProofAge(time.Minute) }},
		{name: "no configuration", request: valid, change: (*tier).removeConfiguration},
	} {
		s := startTier(t, nil)
		if c.change != nil {
			c.change(s)
		}
		fmt.Fprintf(&answers, "== %s\n%s\n", c.name, rawAnswer(t, s, c.request))
	}
	golden.Text(t, "refusals.txt", answers.String())
}

// Answers to calls about batch jobs, as written.
func TestGoldenBatchAnswers(t *testing.T) {
	var answers strings.Builder
	for _, c := range []struct{ name, request string }{
		{"submit", closingRequest("POST", "/batch/7c", "{}")},
		{"results", closingRequest("GET", "/-/lots/7c?startAfter=12", "")},
		{"item body", closingRequest("GET", "/-/items/7c?identifier=e5", "")},
		{"end", closingRequest("DELETE", "/-/lots/7c", "")},
		{"position that is not a number", closingRequest("GET", "/-/lots/7c?startAfter=x", "")},
		{"query that cannot be read", closingRequest("GET", "/-/lots/7c?%zz", "")},
		{"method that is not known", closingRequest("PUT", "/-/lots/7c", "")},
		{"item body by POST", closingRequest("POST", "/-/items/7c", "")},
		{"submit by GET", closingRequest("GET", "/batch/7c", "")},
	} {
		s := startTier(t, func(o *Options) { o.Batch = &fakeBatch{} })
		fmt.Fprintf(&answers, "== %s\n%s\n", c.name, rawAnswer(t, s, c.request))
	}
	s := startTier(t, nil)
	fmt.Fprintf(&answers, "== batch jobs are not served\n%s\n", rawAnswer(t, s, closingRequest("POST", "/batch/7c", "{}")))
	golden.Text(t, "batch_answers.txt", answers.String())
}
