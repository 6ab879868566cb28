package control

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"nickelline/internal/control/controlapi"
)

func TestLargeBodies(t *testing.T) {
	a := newTestAPI(t)
	text := documentText(3, 10)
	padded := fmt.Sprintf(`%s,"padding":%q}`, strings.TrimSuffix(text, "}"), strings.Repeat("x", 4<<20))
	a.expect("PUT", controlapi.ConfigurationPath, "0", padded, 200)
	if got := a.expect("GET", controlapi.ConfigurationPath, "", "", 200); len(got.body) < 4<<20 {
		t.Errorf("got %d bytes, want more than 4 MB", len(got.body))
	}
}

// A body that is shorter than its Content-Length must not be accepted, even though the bytes that were sent are a valid
// document.
func TestTruncatedBody(t *testing.T) {
	a := newTestAPI(t)
	connection, err := net.Dial("tcp", a.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	body := documentText(3, 10)
	_, err = fmt.Fprintf(connection, "PUT %s HTTP/1.1\r\nHost: h\r\nIf-Match: 0\r\nContent-Length: %d\r\n\r\n%s",
		controlapi.ConfigurationPath, len(body)+10, body)
	if err != nil {
		t.Fatal(err)
	}
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err == nil && response.StatusCode == 200 {
		t.Error("truncated body: got status 200, want a refusal")
	}
	if a.replica.machine.State().Version() != 0 {
		t.Errorf("truncated body: got version %d, want 0", a.replica.machine.State().Version())
	}
}

// A chunked body is accepted, but not one that ends before its last chunk.
func TestChunkedBody(t *testing.T) {
	a := newTestAPI(t)
	send := func(match uint64, body, end string) int {
		connection, err := net.Dial("tcp", a.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		_, err = fmt.Fprintf(connection, "PUT %s HTTP/1.1\r\nHost: h\r\nIf-Match: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s",
			controlapi.ConfigurationPath, match, len(body), body, end)
		if err != nil {
			t.Fatal(err)
		}
		if end == "" {
			if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	if status := send(0, documentText(3, 10), "0\r\n\r\n"); status != 200 {
		t.Errorf("chunked body: got status %d, want 200", status)
	}
	if status := send(3, documentText(5, 10), ""); status == 200 || a.replica.machine.State().Version() != 3 {
		t.Errorf("chunked body without its last chunk: got status %d and version %d, want an error and version 3", status, a.replica.machine.State().Version())
	}
}
