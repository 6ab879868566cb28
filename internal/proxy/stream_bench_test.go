package proxy

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"nickelline/internal/measure"
)

// BenchmarkOpenStreams measures the memory per open stream: heap and stacks after a garbage collection, including those
// of the client and the backend, which run in the same process.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 90 // testProxy allows up to 100 connections to its backend
	release := make(chan struct{})
	backend := startBackend(b, func(server *backend, r received, conn net.Conn) bool {
		<-server.requests
		io.WriteString(conn, strings.ReplaceAll(streamHead, "ID", r.Header.Get("Nickelline-Attempt-Id")))
		io.WriteString(conn, chunk(eventText(1)))
		<-release
		return false
	})
	s := startTestProxy(b, nil, backend)
	request := requestText("/stream/x", "Nickelline-Deadline-Remaining-Ms: 20000\r\nNickelline-Model-Name: m\r\n"+
		"Nickelline-Token-Usage: 1460,80\r\nNickelline-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
		strings.Repeat("x", 4700))
	before := memoryInUse()
	for range streams {
		c := s.connect(b)
		c.send(b, request)
		for line := ""; line != "id: 1\n"; {
			var err error
			if line, err = c.reader.ReadString('\n'); err != nil {
				b.Fatal(err)
			}
		}
	}
	used := float64(memoryInUse()-before) / streams
	close(release)
	for b.Loop() {
		runtime.Gosched() // the streams are opened and measured once: there is nothing to repeat
	}
	b.ReportMetric(used, "bytes/stream")
}

func memoryInUse() int64 {
	stats := measure.Memory()
	return int64(stats.HeapAlloc + stats.StackInuse)
}
