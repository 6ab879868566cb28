package checkeddial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cloudwego/hertz/pkg/app/client"

	"nickelline/internal/standin"
)

// startServer starts a server that answers each request with text, in pieces, and returns its URL and the number of its connections.
func startServer(t *testing.T, text string, pieceSize int) (url string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go standin.ServeRequests(conn, func(*http.Request) bool { return writePieces(conn, text, pieceSize) == nil })
		}
	}()
	return "http://" + listener.Addr().String() + "/", connections
}

// writePieces writes a text with one system call for each piece.
func writePieces(w io.Writer, text string, pieceSize int) error {
	for len(text) > 0 {
		n := min(pieceSize, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

func newTestClient(t *testing.T) *client.Client {
	t.Helper()
	c, err := client.NewClient(client.WithDialer(New()))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// strangeLines would be malformed in a head.
const strangeLines = ": a\r\nX A: b\r\n c\r\n\n\x00HTTP/1.1 000 x\r\n\r\n"

// TestBodiesAreNotChecked checks that responses are read as they are, however they arrive, on one connection.
func TestBodiesAreNotChecked(t *testing.T) {
	body := strings.Repeat(strangeLines, 1000)
	withLength := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	inChunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for name, text := range map[string]string{
		"length":     withLength,
		"chunks":     inChunks,
		"an interim": "HTTP/1.1 100 Continue\r\n\r\n" + withLength,
	} {
		for _, pieceSize := range []int{7, 60, 1 << 20} {
			t.Run(fmt.Sprintf("%s in pieces of %d", name, pieceSize), func(t *testing.T) {
				url, connections := startServer(t, text, pieceSize)
				c := newTestClient(t)
				for range 3 {
					status, got, err := c.Get(context.Background(), nil, url)
					if err != nil || status != http.StatusOK || string(got) != body {
						t.Fatalf("Get: got %d and %d bytes, %v, want 200 and %d bytes", status, len(got), err, len(body))
					}
				}
				if n := connections.Load(); n != 1 {
					t.Errorf("connections: got %d, want 1", n)
				}
			})
		}
	}
}

// TestMalformedHeadFails checks that no piece in which a malformed head arrives hides it.
func TestMalformedHeadFails(t *testing.T) {
	const proper = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{
		"status 000":          strings.Replace(proper, "200", "000", 1),
		"blank in a name":     strings.Replace(proper, "\r\n", "\r\nX A: a\r\n", 1),
		"blank, after others": strings.Replace(proper, "\r\n\r\n", "\r\nX-A : a\r\n\r\n", 1),
		"after an interim":    "HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(proper, "\r\n", "\r\nX A: a\r\n", 1),
	} {
		for pieceSize := 1; pieceSize <= len(text); pieceSize++ {
			url, _ := startServer(t, text, pieceSize)
			if status, body, err := newTestClient(t).Get(context.Background(), nil, url); err == nil {
				t.Errorf("%s in pieces of %d: got %d %q, want an error", name, pieceSize, status, body)
			}
		}
	}
}
