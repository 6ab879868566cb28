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
	// retryAfterField matches a Retry-After field. Its value has random jitter, in seconds with three decimals.
	retryAfterField = regexp.MustCompile(`^Retry-After: \d+\.\d{3}$`)
	// dateField matches the Date field of a response that hertz writes by itself.
	dateField = regexp.MustCompile(`^Date: \w{3}, \d\d \w{3} \d{4} \d\d:\d\d:\d\d GMT$`)
)

// rawResponse sends a request on a new connection and returns everything that the server writes until it closes the
// connection. The header fields are sorted, since their order is not fixed.
func rawResponse(t *testing.T, s *testProxy, request string) string {
	t.Helper()
	c := s.connect(t)
	c.send(t, request)
	written, err := io.ReadAll(c.reader)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	return normalizeResponse(string(written))
}

func normalizeResponse(written string) string {
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

// closingRequest returns the text of a request that asks to close the connection after the response.
func closingRequest(method, target, body string) string {
	return strings.Replace(requestText(target, closeField, body), "POST", method, 1)
}

// TestGoldenErrorAnswers compares the response to each kind of error with the golden file, byte by byte but for the order
// of the fields, the jitter of Retry-After and the date.
func TestGoldenErrorAnswers(t *testing.T) {
	var responses strings.Builder
	for _, kind := range fault.Kinds() {
		api := &fakeBatch{fail: fault.New(kind, "cause")}
		s := startTestProxy(t, func(o *Options) { o.Batch = api })
		response := rawResponse(t, s, closingRequest("POST", "/batch/7c", "{}"))
		fmt.Fprintf(&responses, "== %s\n%s\n", kind, response)
	}
	golden.Text(t, "error_answers.txt", responses.String())
}

// TestGoldenRefusals compares the responses to requests that the proxy rejects by itself with the golden file.
func TestGoldenRefusals(t *testing.T) {
	valid := closingRequest("POST", "/many/x", "body")
	replaced := func(old, replacement string) string { return strings.Replace(valid, old, replacement, 1) }
	var responses strings.Builder
	for _, c := range []struct {
		name, request string
		change        func(*testProxy)
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
		{name: "stale proof", request: valid, change: func(s *testProxy) { s.setProofAge(time.Minute) }},
		{name: "no configuration", request: valid, change: (*testProxy).removeConfiguration},
	} {
		s := startTestProxy(t, nil)
		if c.change != nil {
			c.change(s)
		}
		fmt.Fprintf(&responses, "== %s\n%s\n", c.name, rawResponse(t, s, c.request))
	}
	golden.Text(t, "refusals.txt", responses.String())
}

// TestGoldenBatchAnswers compares the responses to batch API requests with the golden file.
func TestGoldenBatchAnswers(t *testing.T) {
	var responses strings.Builder
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
		s := startTestProxy(t, func(o *Options) { o.Batch = &fakeBatch{} })
		fmt.Fprintf(&responses, "== %s\n%s\n", c.name, rawResponse(t, s, c.request))
	}
	s := startTestProxy(t, nil)
	fmt.Fprintf(&responses, "== batch jobs are not served\n%s\n", rawResponse(t, s, closingRequest("POST", "/batch/7c", "{}")))
	golden.Text(t, "batch_answers.txt", responses.String())
}
