package forward

import (
	"net/http"
	"testing"
)

// TestContradictoryFramingIsNoResponse guards against a body whose end is a guess: RFC 9112 section 6 lets a response have one length or be
// sent in chunks.
func TestContradictoryFramingIsNoResponse(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	chunks := chunk(malformedBody) + lastChunk
	for name, text := range map[string]string{
		"length beside chunks":      completeResponse("200 OK", chunked, chunks),
		"chunks beside length":      rawResponse("200 OK", "Content-Length: 5\r\n"+chunked+"\r\n"+chunks),
		"not executed, both":        completeResponse("503 x", HeaderNotExecuted+": 1\r\n"+chunked, lastChunk),
		"chunks of HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + HeaderAttemptID + ": " + testID + "\r\n" + chunked + "\r\n" + chunks,
		"two lengths":               completeResponse("200 OK", "Content-Length: 9\r\n", malformedBody),
		"two lengths in one field":  rawResponse("200 OK", "Content-Length: 5, 6\r\n\r\n"+malformedBody),
		"signed length":             rawResponse("200 OK", "Content-Length: +5\r\n\r\n"+malformedBody),
		"negative length":           rawResponse("200 OK", "Content-Length: -5\r\n\r\n"+malformedBody),
		"empty length":              rawResponse("200 OK", "Content-Length:\r\n\r\n"+malformedBody),
		"length that is no number":  rawResponse("200 OK", "Content-Length: 5x\r\n\r\n"+malformedBody),
		"length of too many digits": rawResponse("200 OK", "Content-Length: 99999999999999999999\r\n\r\n"+malformedBody),
		"another coding":            rawResponse("200 OK", "Transfer-Encoding: gzip\r\n\r\n"+chunks),
		"another coding as well":    rawResponse("200 OK", "Transfer-Encoding: gzip, chunked\r\n\r\n"+chunks),
		"chunked twice":             rawResponse("200 OK", chunked+chunked+"\r\n"+chunks),
	} {
		t.Run(name, func(t *testing.T) { expectMalformed(t, http.MethodPost, text) })
	}
}

// TestFramingOfResponsesWithoutBody checks that the framing of a response that has no body, by its status or its method, may state the
// length of the body that is left out.
func TestFramingOfResponsesWithoutBody(t *testing.T) {
	for _, c := range []struct{ name, method, text string }{
		{"length of HEAD", http.MethodHead, rawResponse("200 OK", "Content-Length: 5\r\n\r\n")},
		{"chunks of HEAD", http.MethodHead, rawResponse("200 OK", "Transfer-Encoding: chunked\r\n\r\n")},
		{"length of 304", http.MethodGet, rawResponse("304 Not Modified", "Content-Length: 5\r\n\r\n")},
		{"204", http.MethodPost, rawResponse("204 No Content", "\r\n")},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBackend(t, c.text)
			request := testRequest()
			request.Method = c.method
			response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, request)
			if failure != nil {
				t.Fatal(failure)
			}
			if body, err := response.ReadAll(); err != nil || len(body) > 0 {
				t.Errorf("body: got %q, %v, want none", body, err)
			}
		})
	}
}
