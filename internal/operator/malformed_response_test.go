package operator

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"nickelline/internal/standin"
)

// TestMalformedAnswerIsNotDefinite guards against an answer whose head is malformed being taken for a node's acknowledgement or refusal.
func TestMalformedAnswerIsNotDefinite(t *testing.T) {
	const body = `{"version":3}`
	proper := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	const redirect = "HTTP/1.1 307 x\r\nX A: a\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"status 000":          strings.Replace(proper, "200", "000", 1),
		"blank in a name":     strings.Replace(proper, "\r\n", "\r\nX A: a\r\n", 1),
		"blank, refusal":      strings.Replace(strings.Replace(proper, "200", "412", 1), "\r\n", "\r\nX A: a\r\n", 1),
		"control byte":        strings.Replace(proper, "\r\n", "\r\nX\x02A: a\r\n", 1),
		"another protocol":    strings.Replace(proper, "HTTP/1.1", "ICY", 1),
		"malformed redirect":  redirect,
		"two lengths":         strings.Replace(proper, "\r\n", "\r\nContent-Length: 2\r\n", 1),
		"status 000 before":   "HTTP/1.1 000 x\r\n\r\n" + proper,
		"malformed 100 first": "HTTP/1.1 100 x\r\nX A: a\r\n\r\n" + proper,
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go standin.ServeRaw(listener, text)
			good := newFakeNode(t, respond(200, `{"version":9}`))
			c, err := New(Options{Nodes: []string{listener.Addr().String(), good.address()}, Timeout: 10 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			version, err := c.Put(t.Context(), 0, []byte(`{}`))
			if err != nil || version != 9 {
				t.Errorf("Put: got version %d, %v, want version 9 of the other node", version, err)
			}
		})
	}
}
