package discovery

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"nickelline/internal/standin"
)

// rawPlatform returns a client of a platform that answers each call with a text.
func rawPlatform(t *testing.T, text string) *Platform {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go standin.ServeRaw(listener, text)
	platform, err := NewPlatform(netip.MustParseAddrPort(listener.Addr().String()), testRate)
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

// TestMalformedAnswerIsNoListing guards against an answer of the platform whose head is malformed being taken for the listing: it may
// say that there are no backends.
func TestMalformedAnswerIsNoListing(t *testing.T) {
	const body = `{"instances":[],"nextToken":null}`
	proper := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	withLine := func(line string) string { return strings.Replace(proper, "\r\n", "\r\n"+line, 1) }
	for name, text := range map[string]string{
		"status 000":                strings.Replace(proper, "200", "000", 1),
		"status 000 before it":      "HTTP/1.1 000 x\r\n\r\n" + proper,
		"status 042":                strings.Replace(proper, "200", "042", 1),
		"another protocol":          strings.Replace(proper, "HTTP/1.1", "ICY", 1),
		"another version":           strings.Replace(proper, "HTTP/1.1", "HTTP/2.0", 1),
		"blank in a name":           withLine("X A: a\r\n"),
		"blank after a name":        withLine("X-A : a\r\n"),
		"control byte in a name":    withLine("X\x01A: a\r\n"),
		"NUL in a name":             withLine("X\x00A: a\r\n"),
		"NUL in a value":            withLine("X-A: a\x00\r\n"),
		"no colon":                  withLine("X-A\r\n"),
		"folded line":               withLine("X-A: a\r\n b\r\n"),
		"two lengths":               withLine("Content-Length: 2\r\n"),
		"length beside chunks":      withLine("Transfer-Encoding: chunked\r\n"),
		"malformed interim":         "HTTP/1.1 100 Continue\r\nX A: a\r\n\r\n" + proper,
		"malformed after interim":   "HTTP/1.1 100 Continue\r\n\r\n" + withLine("X A: a\r\n"),
		"line feed before the name": withLine("\nX-A: a\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			if listing, err := rawPlatform(t, text).Read(t.Context(), false, ignorePage); err == nil {
				t.Errorf("Read: got a list of %d backends, want an error", listing.List.Len())
			}
		})
	}
	for name, text := range map[string]string{
		"proper":           proper,
		"after an interim": "HTTP/1.1 100 Continue\r\n\r\n" + proper,
		"line feeds alone": strings.ReplaceAll(proper, "\r\n", "\n"),
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			platform := rawPlatform(t, text)
			for range 3 { // on one connection
				if listing, err := platform.Read(t.Context(), false, ignorePage); err != nil || listing.Pages != 1 {
					t.Errorf("Read: got %+v, %v, want one page", listing, err)
				}
			}
		})
	}
}
