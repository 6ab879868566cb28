package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"nickelline/internal/golden"
)

// TestGoldenConfig compares the values of a configuration, without field names, with a golden file.
func TestGoldenConfig(t *testing.T) {
	c, err := LoadConfig(func(name string) string {
		if name == "GW_CONFIG" {
			return "testdata/config.json"
		}
		return ""
	})
	if err != nil {
		t.Fatalf("load configuration: %v", err)
	}
	text := fmt.Sprintln(c.Name, c.Listen, c.Discovery, c.Seed, c.Limits, c.PeerListen, c.PeersAll, c.Peers)
	text += fmt.Sprintf("known %v\nsettings %v\n", c.KnownBackends, c.Settings)
	golden.Text(t, "config.txt", text)
}

// TestGoldenSocketsLine compares the names and the order of the fields in the periodic log line of counters with a
// golden file.
func TestGoldenSocketsLine(t *testing.T) {
	counts := &stats{}
	for i := range counts.outcomes {
		counts.outcomes[i].Store(int64(i))
	}
	for i, status := range []int{200, 429, 503, 502, 504} {
		for range i + 1 {
			counts.countResponse(status)
		}
	}
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{ReplaceAttr: withoutTime}))
	log.LogAttrs(t.Context(), slog.LevelInfo, "sockets", counts.takeAttrs()...)
	golden.Text(t, "sockets.txt", text.String())
}

// withoutTime removes the time from a log line.
func withoutTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}

// TestGoldenAnswers compares status, header and body of the responses that the node itself gives with a golden file.
func TestGoldenAnswers(t *testing.T) {
	t.Parallel()
	addr := startBackend(t, respondWith(func(r *http.Request, _ []byte) string {
		if r.Header.Get("X-Correlation-Id") == "fails" {
			return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad"
		}
		return "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 3\r\n\r\nbad"
	}))
	const host, id, left, key, none, end = "Host: h\r\n", "X-Correlation-Id: q\r\n", "X-Time-Left: 9\r\n", "Idempotency-Key: k\r\n", "Content-Length: 0\r\n", "\r\n"
	const get, post, head = "GET /read HTTP/1.1\r\n", "POST /order HTTP/1.1\r\n", host + id + left
	empty := startNode(t, &Config{Settings: testSettings(), KnownBackends: readyBackends()})
	serving := startNode(t, &Config{Settings: testSettings(), KnownBackends: readyBackends(addr)})
	serving.waitReady(t, http.StatusOK)
	var text strings.Builder
	for _, c := range []struct {
		name, request string
		served        bool // sent to the node with a backend
	}{
		{"unknown path", "GET /other HTTP/1.1\r\n" + head + end, false},
		{"HTTP/1.0", "GET /read HTTP/1.0\r\n" + head + end, false},
		{"chunked", post + head + "Transfer-Encoding: chunked\r\n" + end, false},
		{"wrong method", "GET /order HTTP/1.1\r\n" + head + end, false},
		{"GET with a body", get + head + "Content-Length: 1\r\n" + end + "x", false},
		{"large body", post + head + "Content-Length: 70000\r\n" + end, false},
		{"no id", get + host + left + end, false},
		{"no key", "POST /tag HTTP/1.1\r\n" + head + none + end, false},
		{"key not wanted", post + head + key + none + end, false},
		{"no time", get + host + id + end, false},
		{"time in words", get + host + id + "X-Time-Left: soon\r\n" + end, false},
		{"body not complete", post + head + "Content-Length: 3\r\n" + end + "a", false},
		{"alive", "GET /health/live HTTP/1.1\r\n" + host + end, false},
		{"not ready", "GET /health/ready HTTP/1.1\r\n" + host + end, false},
		{"ready", "GET /health/ready HTTP/1.1\r\n" + host + end, true},
		{"no backend", get + head + end, false},
		{"backend blames the client", get + head + end, true},
		{"backend fails an unsafe request", post + host + "X-Correlation-Id: fails\r\n" + left + none + end, true},
	} {
		n := empty
		if c.served {
			n = serving
		}
		fmt.Fprintf(&text, "== %s\n%s\n", c.name, responseText(t, n.addr, c.request))
	}
	golden.Text(t, "answers.txt", text.String())
}

// responseText returns the status line of a response, its header sorted by name and without varying values, and its
// body.
func responseText(t *testing.T, address, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatalf("write request: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read response to %.60q: %v", request, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read body: %v", err)
	}
	lines := []string{}
	for name, values := range resp.Header {
		if name == "Date" {
			continue
		}
		if name == "Retry-After" { // drawn at random
			values = []string{"(seconds)"}
		}
		lines = append(lines, fmt.Sprintf("%s: %s", name, strings.Join(values, ", ")))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%s %s close=%v\n%s\n%q", resp.Proto, resp.Status, resp.Close, strings.Join(lines, "\n"), body)
}
