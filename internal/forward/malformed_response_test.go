package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	malformedBody = "of a malformed response"
	// refusalTimeout bounds the time in which a malformed response is to be refused, although its connection stays open.
	refusalTimeout = 4 * time.Second
)

// malformedLines are header lines that RFC 9112 section 5 does not allow, by what is wrong with them.
func malformedLines() map[string]string {
	lines := map[string]string{
		"empty name":              ": v",
		"no colon":                "X-A",
		"blank after the name":    "X-A : v",
		"tab after the name":      "X-A\t: v",
		"folded line":             " v",
		"control byte in a value": "X-A: a\x00b",
		"DEL in a value":          "X-A: a\x7fb",
		"CR in a value":           "X-A: a\rb",
	}
	for value := range 0x100 {
		if c := byte(value); !isTokenByte(c) && c != ':' {
			lines[fmt.Sprintf("%#02x within the name", c)] = "X" + string([]byte{c}) + "A: v"
			lines[fmt.Sprintf("%#02x before the colon", c)] = "X-A" + string([]byte{c}) + ": v"
			lines[fmt.Sprintf("%#02x at the start of the line", c)] = string([]byte{c}) + "X-A: v"
		}
	}
	return lines
}

// isTokenByte reports whether RFC 9110 section 5.6.2 allows a byte in a token.
func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// expectMalformed sends a request to a backend that responds with text, and checks that the response is not returned, that it is not
// known whether the request ran, and that the connection is closed.
func expectMalformed(t *testing.T, method, text string) {
	t.Helper()
	b := startBackend(t, text)
	client := testClient(t, 0, b)
	request := testRequest()
	request.Method = method
	request.Deadline = time.Now().Add(refusalTimeout)
	response, failure := client.Do(t.Context(), b.Backend, request)
	switch {
	case failure == nil:
		t.Errorf("response: got status %d and header %q, want a failure", response.Status, response.Header)
		response.Close()
	case failure.Outcome != MayHaveRun || failure.TimedOut || failure.Load != nil:
		t.Errorf("failure: got %+v, want outcome %v without a load, before the deadline", failure, MayHaveRun)
	}
	if open := client.pool.Open(); open != 0 {
		t.Errorf("open connections: got %d, want 0", open)
	}
}

// TestMalformedHeaderLineIsNoResponse guards against a response whose head has a malformed line being taken for the backend's
// response, whatever its other lines say.
func TestMalformedHeaderLineIsNoResponse(t *testing.T) {
	for name, line := range malformedLines() {
		t.Run(name, func(t *testing.T) {
			expectMalformed(t, http.MethodPost, completeResponse("200 OK", line+"\r\n", malformedBody))
		})
	}
}

// TestNothingInAMalformedHeadIsBelieved guards against a promise, a load or the framing of the body being taken from a head that has a
// malformed line.
func TestNothingInAMalformedHeadIsBelieved(t *testing.T) {
	const line = "X b: v\r\n"
	chunked := chunk(malformedBody) + lastChunk
	for name, text := range map[string]string{
		"not executed":                 completeResponse("503 Service Unavailable", HeaderNotExecuted+": 1\r\n"+HeaderServerLoad+": 8,2,8\r\n"+line, ""),
		"not executed, line first":     completeResponse("503 Service Unavailable", line+HeaderNotExecuted+": 1\r\n", ""),
		"another backend":              completeResponse("421 Misdirected Request", line, ""),
		"another backend, without id":  "HTTP/1.1 421 x\r\n" + line + "Content-Length: 0\r\n\r\n",
		"not executed, blank":          completeResponse("503 Service Unavailable", HeaderNotExecuted+" : 1\r\n", ""),
		"server error":                 completeResponse("500 Internal Server Error", line, "failed"),
		"no such thing":                completeResponse("404 Not Found", line, "none"),
		"no content":                   rawResponse("204 No Content", line+"\r\n"),
		"not modified":                 rawResponse("304 Not Modified", line+"\r\n"),
		"stream":                       rawResponse("200 OK", line+streamFields+chunk("id: 1\ndata: a\n\n")+lastChunk),
		"chunks, blank before colon":   rawResponse("200 OK", fmt.Sprintf("Transfer-Encoding : chunked\r\nContent-Length: %d\r\n\r\n%s", len(chunked), chunked)),
		"length, blank before colon":   rawResponse("200 OK", "Content-Length : 5\r\nContent-Length: 9\r\n\r\n"+malformedBody[:9]),
		"encoding, blank before colon": completeResponse("200 OK", "Content-Encoding : gzip\r\n", malformedBody),
		"head ended by a line feed":    completeResponse("200 OK", "\nX-A: v\r\n", malformedBody),
		"before the id":                "HTTP/1.1 200 OK\r\n" + line + HeaderAttemptID + ": " + testID + "\r\nContent-Length: 0\r\n\r\n",
		"interim response":             "HTTP/1.1 100 Continue\r\n" + line + "\r\n" + completeResponse("200 OK", "", malformedBody),
		"after an interim response":    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + completeResponse("200 OK", line, malformedBody),
	} {
		t.Run(name, func(t *testing.T) { expectMalformed(t, http.MethodPost, text) })
	}
	t.Run("HEAD", func(t *testing.T) {
		expectMalformed(t, http.MethodHead, rawResponse("200 OK", line+"Content-Length: 5\r\n\r\n"))
	})
}

// TestUnusualHeadIsAccepted guards against a response being refused whose head RFC 9112 allows, or lets a recipient accept.
func TestUnusualHeadIsAccepted(t *testing.T) {
	fields := HeaderAttemptID + ": " + testID + "\r\nContent-Length: 2\r\n"
	for name, text := range map[string]string{
		"no reason phrase":                "HTTP/1.1 200 \r\n" + fields + "\r\nok",
		"no space after the status":       "HTTP/1.1 200\r\n" + fields + "\r\nok",
		"HTTP/1.0":                        "HTTP/1.0 200 OK\r\n" + fields + "\r\nok",
		"unknown status":                  "HTTP/1.1 299 x\r\n" + fields + "\r\nok",
		"lines that end with a line feed": strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+"\r\n", "\r\n", "\n") + "ok",
		"names in lower case":             "HTTP/1.1 200 OK\r\n" + strings.ToLower(fields) + "\r\nok",
		"tabs and no blanks":              strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields, ": ", ":\t") + "X-A:\r\n\r\nok",
		"other character sets":            "HTTP/1.1 200 \xe4\r\n" + fields + "X-A: \xe4\r\n\r\nok",
		"long line":                       "HTTP/1.1 200 OK\r\n" + fields + "X-A: " + strings.Repeat("a", 20<<10) + "\r\n\r\nok",
		"many lines":                      "HTTP/1.1 200 OK\r\n" + fields + strings.Repeat("X-A: a\r\n", 1000) + "\r\nok",
		"interim responses":               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: a\r\n\r\n" + "HTTP/1.1 200 OK\r\n" + fields + "\r\nok",
		"one length twice":                "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, text)
			response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, testRequest())
			if failure != nil {
				t.Fatal(failure)
			}
			if body, err := response.ReadAll(); err != nil || string(body) != "ok" {
				t.Errorf("body: got %q, %v, want %q", body, err, "ok")
			}
		})
	}
}

// TestTrailerIsDropped checks that a body in chunks is complete with its last chunk, and that no line of the trailer becomes a field of
// the response, whatever its name.
func TestTrailerIsDropped(t *testing.T) {
	for _, trailer := range []string{"X-A: a\r\n", "X A: a\r\n", "X-A : a\r\n"} {
		b := startBackend(t, rawResponse("200 OK", "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n"+chunk("ok")+"0\r\n"+trailer+"\r\n"))
		response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, testRequest())
		if failure != nil {
			t.Fatal(failure)
		}
		body, err := response.ReadAll()
		if err != nil || string(body) != "ok" || len(response.Header) != 1 {
			t.Errorf("trailer %q: got %q, %v with header %q, want the body and the attempt id", trailer, body, err, response.Header)
		}
	}
}
