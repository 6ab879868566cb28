package forward

import (
	"net/http"
	"strings"
	"testing"
)

// TestInvalidStatusLineIsNoResponse guards against a response whose status line is no status line of HTTP/1.x, or whose status is outside
// 100 to 599, being taken for the backend's response or for an interim one that another follows.
func TestInvalidStatusLineIsNoResponse(t *testing.T) {
	proper := completeResponse("200 OK", "", malformedBody)
	for _, status := range []string{
		"000 x", "000", "001 x", "042 x", "099 x", "600 x", "999 x", "-01 x", "+20 x", "20 x", "2000 x", "2x0 x", "\x01200 x", "x", "",
		"200 a\x01b", "200 a\x7fb", "200 a\rb",
	} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			invalid := completeResponse(status, "", malformedBody)
			expectMalformed(t, http.MethodPost, invalid)
			expectMalformed(t, http.MethodPost, rawResponse(status, "\r\n")+proper)
			expectMalformed(t, http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\n"+invalid)
			expectMalformed(t, http.MethodPost, completeResponse(status, HeaderNotExecuted+": 1\r\n", ""))
			expectMalformed(t, http.MethodHead, rawResponse(status, "Content-Length: 5\r\n\r\n"))
		})
	}
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/3.1", "HTTP/1", "HTTP/1.", "HTTP/1.10", "HTTP/1.x", "http/1.1", "ICY", "TTP/1.1", " HTTP/1.1", ""} {
		t.Run(version, func(t *testing.T) {
			t.Parallel()
			expectMalformed(t, http.MethodPost, strings.Replace(proper, "HTTP/1.1", version, 1))
		})
	}
	for name, text := range map[string]string{
		"tab after the version": strings.Replace(proper, "HTTP/1.1 ", "HTTP/1.1\t", 1),
		"empty line before":     "\r\n" + proper,
		"line feed before":      "\n" + proper,
		"bytes before":          "\x00\x01" + proper,
	} {
		t.Run(name, func(t *testing.T) { expectMalformed(t, http.MethodPost, text) })
	}
}
