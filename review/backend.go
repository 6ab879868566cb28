package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exchange is one request at a backend, whose body has not been read, and the connection to answer on.
type exchange struct {
	backend *backend
	conn    *net.TCPConn
	reader  *bufio.Reader
	request *http.Request
	attempt string
}

// backend is a stand-in of a backend. It reads the heads of requests itself, so that it may answer before it has read a body.
type backend struct {
	identifier, service, zone, address string
	slots                              int
	window                             int // of the connections, in bytes; 0: as the system has it
	record                             *record
	// handle answers a request. It reports whether the connection is kept.
	handle func(e *exchange) bool

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func (b *backend) entry(state string) instance {
	return instance{
		Identifier: b.identifier, Service: b.service, Address: b.address, Zone: b.zone, Version: "v1", CapacitySlots: b.slots,
		State: state, PipelineStage: "both", Models: []model{{Name: "m", Version: 1, Adapters: []string{}}},
	}
}

func (b *backend) serve() error {
	listener, err := listenWithWindow(b.address, b.window)
	if err != nil {
		return err
	}
	b.listener = listener
	b.conns = map[net.Conn]struct{}{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serveConn(conn.(*net.TCPConn))
		}
	}()
	return nil
}

func (b *backend) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e := &exchange{backend: b, conn: conn, reader: reader, request: request, attempt: request.Header.Get("Nickelline-Attempt-Id")}
		if !b.serveOne(e) {
			return
		}
	}
}

// serveOne answers health checks, reports and requests for other instances itself.
func (b *backend) serveOne(e *exchange) bool {
	expected := e.request.Header.Get("Nickelline-Expected-Instance")
	switch {
	case e.request.URL.Path == "/health":
		e.answer(200, http.Header{"Nickelline-Instance-Id": {b.identifier}}, "")
		return true
	case e.request.URL.Path == "/-/report":
		e.answer(200, http.Header{"Content-Type": {"application/json"}}, `{"pipelineStage":"both","models":[{"name":"m","version":1,"adapters":[]}],"utilisation":false,"callSequence":0,"queued":0,"active":0,"cacheUsed":0,"cacheCapacity":305000,"openHandles":0}`)
		return true
	case expected != "" && expected != b.identifier:
		_, _ = io.Copy(io.Discard, e.request.Body)
		e.answer(421, http.Header{"Nickelline-Not-Executed": {"1"}}, "")
		return true
	}
	return b.handle(e)
}

// answer writes a complete answer with a length.
func (e *exchange) answer(status int, header http.Header, body string) {
	_, _ = io.WriteString(e.conn, e.text(status, header, body))
}

func (e *exchange) text(status int, header http.Header, body string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if e.attempt != "" {
		fmt.Fprintf(&text, "Nickelline-Attempt-Id: %s\r\n", e.attempt)
	}
	for name, values := range header {
		for _, value := range values {
			fmt.Fprintf(&text, "%s: %s\r\n", name, value)
		}
	}
	fmt.Fprintf(&text, "Nickelline-Server-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s", e.backend.slots, len(body), body)
	return text.String()
}

func (e *exchange) seal() string { return "5ea1." + e.backend.identifier + "." + e.attempt }

// sealed returns header fields with the seal of the backend.
func (e *exchange) sealed(fields ...string) http.Header {
	header := http.Header{"Nickelline-Response-Seal": {e.seal()}}
	for i := 0; i+1 < len(fields); i += 2 {
		header[fields[i]] = []string{fields[i+1]}
	}
	return header
}

// stream answers with events first to last, a pause apart, after those that the request has had already.
func (e *exchange) stream(events int, pause time.Duration) bool {
	if _, err := io.Copy(io.Discard, e.request.Body); err != nil {
		return false
	}
	after, _ := strconv.Atoi(e.request.Header.Get("Last-Event-Id"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nNickelline-Attempt-Id: %s\r\nNickelline-Response-Seal: %s\r\nNickelline-Server-Load: 1,0,%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		e.attempt, e.seal(), e.backend.slots)
	if _, err := io.WriteString(e.conn, head); err != nil {
		return false
	}
	for id := after + 1; id <= events; id++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, eventData(e.attempt, id))
		if _, err := fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err := io.WriteString(e.conn, "0\r\n\r\n")
	return err == nil
}

func eventData(attempt string, id int) string { return fmt.Sprintf("token %d of %s", id, attempt) }

// itemText is the whole output of an item.
func itemText(attempt string, events int) string {
	var lines []string
	for id := 1; id <= events; id++ {
		lines = append(lines, eventData(attempt, id))
	}
	return strings.Join(lines, "\n")
}

// listenWithWindow listens with a small receive window, as the links of DEPLOY.md have it.
func listenWithWindow(address string, window int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if window == 0 {
			return nil
		}
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		})
		return errors.Join(err, failed)
	}}
	return config.Listen(context.Background(), "tcp4", address)
}
