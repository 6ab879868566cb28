package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"nickelline/internal/measure"
)

// BenchmarkEventByEvent forwards streams whose events arrive one by one: the backend sends the next event when the client
// has read the previous one. The CPU time includes that of the client and the backend, which run in the same process.
func BenchmarkEventByEvent(b *testing.B) {
	for _, events := range []int{16, 256} {
		b.Run(fmt.Sprint(events), func(b *testing.B) { benchmarkEvents(b, events) })
	}
}

func benchmarkEvents(b *testing.B, events int) {
	next := make(chan struct{}, 1)
	backend := startBackend(b, func(server *backend, r received, conn net.Conn) bool {
		<-server.requests
		io.WriteString(conn, strings.ReplaceAll(streamHead, "ID", r.Header.Get("Nickelline-Attempt-Id")))
		for id := 1; id <= events; id++ {
			<-next
			io.WriteString(conn, chunk(eventText(id)))
		}
		io.WriteString(conn, lastChunk)
		return true
	})
	s := startTestProxy(b, nil, backend)
	c := s.connect(b)
	request := requestText("/stream/x", "Nickelline-Deadline-Remaining-Ms: 20000\r\nNickelline-Model-Name: m\r\n"+
		"Nickelline-Token-Usage: 1460,80\r\nNickelline-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n", "body")
	before := measure.CPUTime()
	b.ReportAllocs()
	for b.Loop() {
		c.send(b, request)
		next <- struct{}{}
		for id := 1; id <= events; {
			line, err := c.reader.ReadString('\n')
			if err != nil {
				b.Fatal(err)
			}
			if line == fmt.Sprintf("id: %d\n", id) {
				id++
				if id <= events {
					next <- struct{}{}
				}
			}
		}
		for line := ""; line != "0\r\n"; {
			var err error
			if line, err = c.reader.ReadString('\n'); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := c.reader.ReadString('\n'); err != nil {
			b.Fatal(err)
		}
	}
	used := measure.CPUTime() - before
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N*events), "cpu-ns/event")
}

func eventText(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 40))
}
