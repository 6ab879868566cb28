package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
)

const (
	// malformedOneIn is the share of requests that a backend answers with a malformed response, as executed.
	malformedOneIn = 30
	// malformedText is the body of such a response.
	malformedText = "malformed"

	malformedEnd     = "Content-Length: 9\r\n\r\n" + malformedText
	malformedChunks  = "Transfer-Encoding: chunked\r\n\r\n9\r\n" + malformedText + "\r\n0\r\n\r\n"
	malformedEvents  = "Content-Type: text/event-stream\r\nContent-Length: 32\r\n\r\nid: 1\ndata: malformed malformed\n\n"
	malformedFields  = "Nickelline-Attempt-Id: ATTEMPT\r\nNickelline-Response-Seal: malformed.ATTEMPT\r\n"
	malformedRefusal = malformedFields + "Nickelline-Not-Executed: 1\r\n"
)

// malformedResponses are responses that are none, with the attempt id in the place of ATTEMPT.
var malformedResponses = []string{
	"HTTP/1.1 200 OK\r\n" + malformedFields + "X b: v\r\n" + malformedEnd,
	"HTTP/1.1 200 OK\r\n" + malformedFields + "X-B : v\r\n" + malformedEvents,
	"HTTP/1.1 200 OK\r\n" + malformedFields + "X\x01B: v\r\n" + malformedEnd,
	"HTTP/1.1 200 OK\r\n" + malformedFields + " X-B: v\r\n" + malformedEnd,
	"HTTP/1.1 200 OK\r\n" + malformedFields + "Content-Length: 25\r\n\nX-B: v\r\n" + malformedEnd,
	"HTTP/1.1 200 OK\r\n" + malformedFields + "Content-Length: 9\r\n" + malformedChunks,
	"HTTP/1.1 200 OK\r\n" + malformedFields + "Nickelline-Response-Seal: another\r\n" + malformedEnd,
	"HTTP/1.1 200 OK\r\n" + malformedFields + "Content-Encoding: gzip\r\n" + malformedEnd,
	"HTTP/1.1 000 x\r\n" + malformedFields + malformedEnd,
	"HTTP/1.1 000 x\r\n\r\nHTTP/1.1 200 OK\r\n" + malformedFields + malformedEnd,
	"HTTP/1.1 000 x\r\n\r\nHTTP/1.1 200 OK\r\n" + malformedFields + malformedEvents,
	"HTTP/1.1 999 x\r\n" + malformedFields + malformedEnd,
	"HTTP/2.0 200 OK\r\n" + malformedFields + malformedEnd,
	"HTTP/1.1 404 Not Found\r\n" + malformedFields + "X b: v\r\n" + malformedEnd,
	"HTTP/1.1 422 Unprocessable Entity\r\n" + malformedFields + "X b: v\r\n" + malformedEnd,
	"HTTP/1.1 500 Internal Server Error\r\n" + malformedFields + "X-B : v\r\n" + malformedEnd,
	"HTTP/1.1 503 Service Unavailable\r\n" + malformedRefusal + "X b: v\r\n" + malformedEnd,
	"HTTP/1.1 000 x\r\n" + malformedRefusal + malformedEnd,
	"HTTP/1.1 100 Continue\r\nX b: v\r\n\r\nHTTP/1.1 200 OK\r\n" + malformedFields + malformedEnd,
}

// sendMalformed answers some requests with a malformed response, as executed, and reports whether it has. The connection is closed then:
// the tier must not use it any more.
func sendMalformed(w *executionWriter, r *http.Request) bool {
	attempt := r.Header.Get(headerAttemptID)
	if attempt == "" || rand.IntN(malformedOneIn) != 0 {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	w.interrupted = true
	response := malformedResponses[rand.IntN(len(malformedResponses))]
	_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ATTEMPT", attempt)) // the tier may be gone
	_ = conn.Close()
	return true
}
