package store

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"nickelline/internal/discovery"
	"nickelline/internal/forward"
	"nickelline/internal/standin"
)

// startMalformedBackend starts a backend that responds to the first requests with a malformed head, one for each of the given texts,
// and to all others with a stream. ID stands for the attempt id in the texts.
func startMalformedBackend(t *testing.T, texts ...string) discovery.Backend {
	t.Helper()
	var runs atomic.Int32
	return listenAsBackend(t, func(conn net.Conn) {
		standin.ServeRequests(conn, func(r *http.Request) bool {
			id := r.Header.Get(forward.HeaderAttemptID)
			response := streamResponse(id)
			if run := int(runs.Add(1)); run <= len(texts) {
				response = strings.ReplaceAll(texts[run-1], "ID", id)
			}
			_, err := io.WriteString(conn, response)
			return err == nil
		})
	})
}

// TestMalformedResponseDoesNotEndAnItem guards against an item that is listed as completed or abandoned by a response whose head is
// malformed.
func TestMalformedResponseDoesNotEndAnItem(t *testing.T) {
	const malformedLine = "X b: v\r\n"
	malformedOf := func(response string) string {
		return strings.Replace(response, "\r\n", "\r\n"+malformedLine, 1)
	}
	rejection := strings.Replace(failureResponse("ID"), "500 Internal Server Error", "422 Unprocessable Entity", 1)
	texts := map[string]string{
		"status 000, then a text":      "HTTP/1.1 000 x\r\n\r\n" + streamResponse("ID"),
		"status 000, then a rejection": "HTTP/1.1 000 x\r\n\r\n" + rejection,
	}
	for name, response := range map[string]string{
		"rejection":     rejection,
		"server error":  failureResponse("ID"),
		"text":          streamResponse("ID"),
		"not executed":  strings.Replace(failureResponse("ID"), "500 ", "503 ", 1),
		"interim first": "HTTP/1.1 100 Continue\r\n\r\n" + failureResponse("ID"),
	} {
		texts["malformed "+name] = malformedOf(response)
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			strange := strings.ReplaceAll(text, "data: ", "data: strange ")
			b := startMalformedBackend(t, strange, strange) // maxAttempts is 2
			f := newFixture(t, 0)
			f.useBackend(b)
			job := testJob(testKey(1), 1, 1)
			f.submit(job)
			f.start()
			checkCompleted(t, f.results(job.Key, 1)[0], 1)
		})
	}
}
