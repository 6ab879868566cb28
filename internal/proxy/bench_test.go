package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"nickelline/internal/forward"
)

// BenchmarkWhole forwards requests and complete responses through a proxy over persistent connections.
func BenchmarkWhole(b *testing.B) {
	benchmark(b, "/many/x", responseText(200, sealField+loadField+"Content-Type: application/json\r\n", strings.Repeat("x", 800)))
}

// BenchmarkStream forwards streams of 16 events.
func BenchmarkStream(b *testing.B) {
	var events strings.Builder
	for i := range 16 {
		events.WriteString(chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 40))))
	}
	benchmark(b, "/stream/x", streamHead+events.String()+lastChunk)
}

func benchmark(b *testing.B, path, replyText string) {
	backend := startBackend(b, func(server *backend, r received, conn net.Conn) bool {
		<-server.requests
		io.WriteString(conn, strings.ReplaceAll(replyText, "ID", r.Header.Get(forward.HeaderAttemptID)))
		return true
	})
	s := startTestProxy(b, nil, backend)
	c := s.connect(b)
	request := requestText(path, "Nickelline-Deadline-Remaining-Ms: 2500\r\nNickelline-Model-Name: m\r\n"+
		"Nickelline-Token-Usage: 1460,80\r\nNickelline-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n", "body")
	b.ReportAllocs()
	for b.Loop() {
		c.send(b, request)
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
	}
}
