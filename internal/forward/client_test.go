package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/discovery"
)

const (
	testID      = "9c41d07be2a35f68"
	testTimeout = 10 * time.Second // more than any test takes, unless something hangs
)

// receivedRequest is a request as a backend has read it.
type receivedRequest struct {
	*http.Request
	body string
}

// scriptedBackend listens for connections, and answers the requests of each from a script.
type scriptedBackend struct {
	discovery.Backend
	connections atomic.Int64
	requests    chan receivedRequest
	closed      chan error // the result of reading a connection after the last response of the script
}

// closeAfter, at the end of a response of a script, makes the backend close the connection after that response.
const closeAfter = "\x00close"

// startBackend starts a backend that answers each request on a connection with the next response of the script, in which the
// attempt id of the request stands in the place of testID. After the last response it reads the connection until the other side closes it.
func startBackend(t *testing.T, script ...string) *scriptedBackend {
	t.Helper()
	return acceptConnections(t, func(b *scriptedBackend, conn *net.TCPConn) { b.serve(conn, script) })
}

// acceptConnections starts a backend that calls serve for each connection.
func acceptConnections(t *testing.T, serve func(b *scriptedBackend, conn *net.TCPConn)) *scriptedBackend {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b := &scriptedBackend{requests: make(chan receivedRequest, 100), closed: make(chan error, 100)}
	b.ID, b.Service = "i-1", "s"
	b.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			b.connections.Add(1)
			go serve(b, conn)
		}
	}()
	return b
}

func (b *scriptedBackend) serve(conn net.Conn, script []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, text := range script {
		r, err := http.ReadRequest(reader)
		if err != nil {
			b.closed <- err
			return
		}
		body, _ := io.ReadAll(r.Body)
		b.requests <- receivedRequest{r, string(body)}
		text, last := strings.CutSuffix(text, closeAfter)
		io.WriteString(conn, strings.ReplaceAll(text, testID, r.Header.Get(HeaderAttemptID)))
		if last {
			return
		}
	}
	_, err := reader.ReadByte()
	b.closed <- err
}

func testClient(t *testing.T, minIdle time.Duration, backends ...*scriptedBackend) *Client {
	t.Helper()
	c := newClient(Options{MaxConnections: 100}, minIdle)
	list := make([]discovery.Backend, 0, len(backends))
	for _, b := range backends {
		list = append(list, b.Backend)
	}
	c.SetBackends(discovery.NewList(list))
	return c
}

func testRequest() *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a/b?c=%20d&e", Host: "h.example", AttemptID: testID, Tenant: "t",
		Header: http.Header{}, Body: []byte("body"), Deadline: time.Now().Add(testTimeout),
	}
}

// rawResponse returns a response with the attempt id of testRequest. rest holds its other fields and its body.
func rawResponse(statusLine, rest string) string {
	return "HTTP/1.1 " + statusLine + "\r\nNickelline-Attempt-Id: " + testID + "\r\n" + rest
}

// completeResponse returns a response with a body of known length.
func completeResponse(status, fields, body string) string {
	return rawResponse(status, fields+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// chunk returns one chunk of a chunked body.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

const (
	streamFields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk    = "0\r\n\r\n"
)

func TestRequestIsSentAsReceived(t *testing.T) {
	b := startBackend(t, completeResponse("200 OK", "Nickelline-Response-Seal: s\r\nNickelline-Server-Load: 3, 0,8\r\nX-More: m\r\n", "answer"))
	c := testClient(t, 0, b)
	r := testRequest()
	r.Header = http.Header{
		"Authorization":         {"Bearer k"},
		"Connection":            {"keep-alive, X-Hop"},
		"X-Hop":                 {"1"},
		"Keep-Alive":            {"timeout=5"},
		"Te":                    {"trailers"},
		"Transfer-Encoding":     {"chunked"},
		HeaderTenant:            {"other"},
		HeaderAttemptID:         {"other"},
		HeaderExpectedInstance:  {"other"},
		HeaderDeadlineRemaining: {"99999999"},
		"X-Kept":                {"one", "two"},
		"Nickelline-Whatever":   {"w"},
	}
	response, failure := c.Do(t.Context(), b.Backend, r)
	if failure != nil {
		t.Fatal(failure)
	}
	body, err := response.ReadAll()
	if err != nil || string(body) != "answer" || response.Status != 200 {
		t.Errorf("response: got %d %q, %v, want 200 \"answer\"", response.Status, body, err)
	}
	if response.Header.Get(HeaderResponseSeal) != "s" || response.Header.Get("X-More") != "m" {
		t.Errorf("header of the response: got %v, want the seal s and X-More: m", response.Header)
	}
	if response.Load == nil || *response.Load != (admission.Load{Running: 3, Waiting: 0, Slots: 8}) {
		t.Errorf("load: got %v, want 3 running, 0 waiting, 8 slots", response.Load)
	}
	got := <-b.requests
	if got.Method != r.Method || got.RequestURI != r.Target || got.Host != r.Host || got.body != "body" {
		t.Errorf("request: got %s %s for %s with body %q, want %s %s for %s with body %q",
			got.Method, got.RequestURI, got.Host, got.body, r.Method, r.Target, r.Host, "body")
	}
	for name, want := range map[string]string{
		HeaderAttemptID: testID, HeaderExpectedInstance: "i-1", HeaderTenant: "t", "X-Kept": "one,two", "Nickelline-Whatever": "w",
		"Authorization": "", "Connection": "", "X-Hop": "", "Keep-Alive": "", "Te": "", "Transfer-Encoding": "",
	} {
		if values := strings.Join(got.Header[name], ","); values != want {
			t.Errorf("%s: got %q, want %q", name, values, want)
		}
	}
	remaining, err := time.ParseDuration(got.Header.Get(HeaderDeadlineRemaining) + "ms")
	if err != nil || remaining > testTimeout || remaining < testTimeout/2 {
		t.Errorf("%s: got %v, %v, want %v to %v", HeaderDeadlineRemaining, remaining, err, testTimeout/2, testTimeout)
	}
}

func TestOutcomeOfFailure(t *testing.T) {
	for _, c := range []struct {
		name   string
		script string
		want   Outcome
	}{
		{"closed without a response", closeAfter, MayHaveRun},
		{"not an HTTP response", "!!!\r\n\r\n", MayHaveRun},
		{"a response to another request", strings.ReplaceAll(completeResponse("200 OK", "", "x"), testID, "other"), MayHaveRun},
		{"a response without an id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", MayHaveRun},
		{"a full backend", completeResponse("503 Service Unavailable", "Nickelline-Not-Executed: 1\r\n", "full"), NotExecuted},
		{"another backend at the address", completeResponse("421 Misdirected Request", "", ""), NotExecuted},
		{"full, without an id", "HTTP/1.1 503 x\r\nNickelline-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", NotExecuted},
		{"another backend, without an id", "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n", NotExecuted},
		{"full, with an encoded body", completeResponse("503 x", "Nickelline-Not-Executed: 1\r\nContent-Encoding: gzip\r\n", "full"), NotExecuted},
		{"full, without an end", rawResponse("503 x", "Nickelline-Not-Executed: 1\r\n\r\n"), NotExecuted},
		{"full, to another request", strings.ReplaceAll(completeResponse("503 x", "Nickelline-Not-Executed: 1\r\n", ""), testID, "other"), MayHaveRun},
		{"another protocol", rawResponse("101 Switching Protocols", "\r\n"), MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBackend(t, c.script)
			_, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, testRequest())
			if failure == nil || failure.Outcome != c.want {
				t.Errorf("failure: got %v, want %v", failure, c.want)
			}
		})
	}
}

func TestOnlyCompleteResponsesAreReturned(t *testing.T) {
	for name, text := range map[string]string{
		"cut short":                rawResponse("200 OK", "Content-Length: 10\r\n\r\nhalf"),
		"cut short within a chunk": rawResponse("200 OK", "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"),
		"without the last chunk":   rawResponse("200 OK", "Transfer-Encoding: chunked\r\n\r\n"+chunk("half")),
		"ends with its connection": rawResponse("200 OK", "\r\nhalf"),
		"larger than is allowed":   rawResponse("200 OK", "Content-Length: 999999999999\r\n\r\nhalf"),
	} {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, text+closeAfter)
			response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, testRequest())
			if failure != nil {
				t.Fatal(failure)
			}
			body, err := response.ReadAll()
			if !errors.As(err, &failure) || failure.Outcome != MayHaveRun {
				t.Errorf("ReadAll: got %q, %v, want a failure with outcome %v", body, err, MayHaveRun)
			}
		})
	}
}

func TestFailuresBeforeSending(t *testing.T) {
	gone := startBackend(t)
	gone.Address = netip.MustParseAddrPort("127.0.0.1:1")
	b := startBackend(t, completeResponse("200 OK", "", ""))
	unlisted := startBackend(t, completeResponse("200 OK", "", ""))
	unlisted.ID = "i-2"
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	late := testRequest()
	late.Deadline = time.Now()
	injected := testRequest()
	injected.Header.Set("X-Evil", "a\r\nContent-Length: 0")
	split := testRequest()
	split.Target = "/a HTTP/1.1\r\n"
	for name, c := range map[string]struct {
		ctx     context.Context
		backend *scriptedBackend
		request *Request
	}{
		"connection refused":      {t.Context(), gone, testRequest()},
		"not listed":              {t.Context(), unlisted, testRequest()},
		"cancelled":               {ended, b, testRequest()},
		"deadline passed":         {t.Context(), b, late},
		"a line break in a field": {t.Context(), b, injected},
		"an invalid target":       {t.Context(), b, split},
	} {
		t.Run(name, func(t *testing.T) {
			client := testClient(t, 0, b)
			if c.backend == gone {
				client = testClient(t, 0, gone)
			}
			_, failure := client.Do(c.ctx, c.backend.Backend, c.request)
			if failure == nil || failure.Outcome != NotSent {
				t.Errorf("failure: got %v, want outcome %v", failure, NotSent)
			}
			if len(b.requests) > 0 {
				t.Error("the backend received a request")
			}
		})
	}
}

func TestConnectionIsReused(t *testing.T) {
	ok := completeResponse("200 OK", "", "a")
	for _, c := range []struct {
		name    string
		first   string
		minIdle time.Duration
		want    int64 // connections
	}{
		{"after a complete response", ok, 0, 1},
		{"after a refusal", completeResponse("503 Service Unavailable", "Nickelline-Not-Executed: 1\r\n", "full"), 0, 1},
		{"after chunks", rawResponse("200 OK", "Transfer-Encoding: chunked\r\n\r\n"+chunk("a")+lastChunk), 0, 1},
		{"not if the backend closes it", completeResponse("200 OK", "Connection: close\r\n", "a"), 0, 2},
		{"not if the backend states an idle timeout of zero", completeResponse("200 OK", "Keep-Alive: timeout=0\r\n", "a"), 0, 2},
		{"not with a second response after the first", ok + ok, 0, 2},
		{"not with other bytes after the first", ok + "rubbish", 0, 2},
		{"not after a response without an id", "HTTP/1.1 503 x\r\nNickelline-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", 0, 2},
		{"not before the minimum idle time", ok, time.Hour, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBackend(t, c.first, ok)
			client := testClient(t, c.minIdle, b)
			for i := range 2 {
				r := testRequest()
				r.AttemptID = attemptID(i)
				response, failure := client.Do(t.Context(), b.Backend, r)
				if failure != nil {
					if failure.Outcome != NotExecuted {
						t.Fatal(failure)
					}
					continue
				}
				if body, err := response.ReadAll(); err != nil || string(body) != "a" {
					t.Fatalf("ReadAll: got %q, %v, want \"a\"", body, err)
				}
			}
			if n := b.connections.Load(); n != c.want {
				t.Errorf("connections: got %d, want %d", n, c.want)
			}
		})
	}
}

func TestAttemptTimesOutAtTheDeadline(t *testing.T) {
	b := startBackend(t, " ") // less than a line
	r := testRequest()
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	_, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, r)
	if failure == nil || failure.Outcome != MayHaveRun || !failure.TimedOut {
		t.Errorf("failure: got %+v, want outcome %v and TimedOut", failure, MayHaveRun)
	}
	if time.Now().Before(r.Deadline) {
		t.Error("Do returned before the deadline")
	}
}

func TestCancellationClosesTheConnection(t *testing.T) {
	for name, text := range map[string]string{
		"before the response": " ",
		"within a stream":     rawResponse("200 OK", streamFields+chunk("id: 1\ndata: a\n\n")),
	} {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, text)
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-b.requests
				cancel()
			}()
			response, failure := testClient(t, 0, b).Do(ctx, b.Backend, testRequest())
			for failure == nil {
				if _, err := response.Next(); err != nil {
					errors.As(err, &failure)
				}
			}
			if failure.Outcome != MayHaveRun || !failure.Cancelled {
				t.Errorf("failure: got %+v, want outcome %v and Cancelled", failure, MayHaveRun)
			}
			if err := <-b.closed; err == nil {
				t.Error("the connection to the backend is still open")
			}
		})
	}
}

func TestCloseWithinAStreamClosesTheConnection(t *testing.T) {
	b := startBackend(t, rawResponse("200 OK", streamFields+chunk("id: 1\ndata: a\n\n")))
	response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, testRequest())
	if failure != nil {
		t.Fatal(failure)
	}
	if _, err := response.Next(); err != nil {
		t.Fatal(err)
	}
	response.Close()
	if err := <-b.closed; err == nil {
		t.Error("the connection to the backend is still open")
	}
}
