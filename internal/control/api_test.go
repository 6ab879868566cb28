package control

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"nickelline/internal/control/controlapi"
)

// testAPI serves the API of a fake chain on a loopback address.
type testAPI struct {
	t       *testing.T
	address string
	replica *fakeReplica
	service *service
}

func newTestAPI(t *testing.T) *testAPI {
	t.Helper()
	replica := &fakeReplica{}
	service := newTestService(replica)
	a := startTestAPI(t, service, func() controlapi.Status { return controlapi.Status{Node: "n-1"} }, noOtherNode)
	a.replica = replica
	a.service = service
	return a
}

// startTestAPI serves the API on a loopback address until the test ends. Redirects are not followed by its callers.
func startTestAPI(t *testing.T, s *service, status func() controlapi.Status, other func() (netip.AddrPort, bool)) *testAPI {
	t.Helper()
	listener, err := listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	a := newAPI(listener, s, status, other)
	ended := make(chan error, 1)
	go func() { ended <- a.run() }()
	t.Cleanup(func() {
		a.stop()
		if err := <-ended; !isServerClosed(err) {
			t.Errorf("run: got %v, want a closed server", err)
		}
	})
	return &testAPI{t: t, address: listener.Addr().String()}
}

func noOtherNode() (netip.AddrPort, bool) { return netip.AddrPort{}, false }

type reply struct {
	status int
	header http.Header
	body   string
}

func (a *testAPI) call(method, path, match, body string) reply {
	a.t.Helper()
	request, err := http.NewRequestWithContext(a.t.Context(), method, "http://"+a.address+path, strings.NewReader(body))
	if err != nil {
		a.t.Fatal(err)
	}
	request.Close = true
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(request)
	if err != nil {
		a.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		a.t.Fatal(err)
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(text)}
}

func (a *testAPI) expect(method, path, match, body string, status int) reply {
	a.t.Helper()
	got := a.call(method, path, match, body)
	if got.status != status {
		a.t.Fatalf("%s %s: got status %d (%s), want %d", method, path, got.status, got.body, status)
	}
	return got
}

func TestConfigurationOverHTTP(t *testing.T) {
	a := newTestAPI(t)
	a.expect("GET", controlapi.ConfigurationPath, "", "", 404)
	a.expect("PUT", controlapi.ConfigurationPath, "", documentText(3, 10), 400)
	a.expect("PUT", controlapi.ConfigurationPath, "x", documentText(3, 10), 400)
	a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 0), 400)
	if got := a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 200); got.body != `{"version":3}` {
		t.Errorf("got %s", got.body)
	}
	a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 200)
	a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 11), 412)
	a.expect("PATCH", controlapi.ConfigurationPath, "3", patchText(3, 20), 400)
	a.expect("PATCH", controlapi.ConfigurationPath, `"3"`, patchText(5, 20), 200)
	a.expect("PATCH", controlapi.ConfigurationPath, "3", patchText(6, 20), 412)
	a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 200)
	got := a.expect("GET", controlapi.ConfigurationPath, "", "", 200)
	if !strings.Contains(got.body, `"version":5`) || !strings.Contains(got.body, `"timeoutMs":20`) {
		t.Errorf("got %s", got.body)
	}
	if got.header.Get("Content-Type") != "application/json" || got.header.Get("ETag") != `"5"` {
		t.Errorf("got %v", got.header)
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	a := newTestAPI(t)
	a.replica.fail(errNotReady)
	got := a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 503)
	if got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "no head") {
		t.Errorf("got %v %s", got.header, got.body)
	}
	a.expect("GET", controlapi.ConfigurationPath, "", "", 503)
	a.replica.fail(errUnclear)
	if got := a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 504); got.header.Get("Retry-After") != "" {
		t.Error("unclear outcome: got a Retry-After header")
	}
	a.expect("POST", controlapi.RetirePath+"a", "", "", 504)
}

func TestLargeBodies(t *testing.T) {
	a := newTestAPI(t)
	text := documentText(3, 10)
	padded := fmt.Sprintf(`%s,"padding":%q}`, strings.TrimSuffix(text, "}"), strings.Repeat("x", 4<<20))
	a.expect("PUT", controlapi.ConfigurationPath, "0", padded, 200)
	if got := a.expect("GET", controlapi.ConfigurationPath, "", "", 200); len(got.body) < 4<<20 {
		t.Errorf("got %d bytes, want more than 4 MB", len(got.body))
	}
}

func TestRetireOverHTTP(t *testing.T) {
	a := newTestAPI(t)
	a.expect("POST", controlapi.RetirePath+"x", "", `{"durationS":10}`, 404)
	a.expect("GET", controlapi.RetirePath+"a", "", "", 404)
	a.expect("POST", controlapi.RetirePath+"a", "", `{"durationS":`, 400)
	a.expect("POST", controlapi.RetirePath+"a", "", `{"durationS":10}`, 200)
	a.expect("POST", controlapi.RetirePath+"a", "", `{"durationS":10}`, 200)
	a.expect("POST", controlapi.RetirePath+"b", "", `{"durationS":10}`, 409)
	if got := a.expect("GET", controlapi.RetirePath+"a", "", "", 200); got.body != `{"state":"in_progress"}` {
		t.Errorf("got %s", got.body)
	}
	if _, err := a.replica.Propose(t.Context(), mustEncodeCommand(t, complete("a", 1, 0))); err != nil {
		t.Fatal(err)
	}
	if got := a.expect("GET", controlapi.RetirePath+"a", "", "", 200); got.body != `{"state":"completed"}` {
		t.Errorf("got %s", got.body)
	}
	if retirement, _ := a.replica.machine.State().Retirement("a"); retirement.Duration != 10*time.Second {
		t.Errorf("got %+v", retirement)
	}
}

func TestStatusOverHTTP(t *testing.T) {
	a := newTestAPI(t)
	if got := a.expect("GET", controlapi.StatusPath, "", "", 200); !strings.Contains(got.body, `"node":"n-1"`) {
		t.Errorf("got %s", got.body)
	}
}

// TestTruncatedBody sends a body that is shorter than its announced length, and closes. It must not be accepted, though what
// was sent is a valid document.
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
		t.Error("truncated body: got status 200")
	}
	if a.replica.machine.State().Version() != 0 {
		t.Error("truncated body: got it accepted")
	}
}

// TestChunkedBody sends a body in chunks, and then one that ends before its last chunk.
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
		t.Errorf("chunked body without its last chunk: got status %d, or version %d", status, a.replica.machine.State().Version())
	}
}

func TestReadMatch(t *testing.T) {
	for text, want := range map[string]uint64{"0": 0, "7": 7, ` "7" `: 7, "18446744073709551615": 1<<64 - 1} {
		if got, err := readMatch(text); err != nil || got != want {
			t.Errorf("%q: got %d, %v; want %d", text, got, err, want)
		}
	}
	for _, text := range []string{"", "*", "-1", "7.5", "seven"} {
		if _, err := readMatch(text); err == nil {
			t.Errorf("%q: got no error", text)
		}
	}
}

func TestUnknownPaths(t *testing.T) {
	a := newTestAPI(t)
	var statuses []int
	for _, path := range []string{"/", "/-/", "/-/configuration/", "/-/retire/", "/-/retire/a/b"} {
		statuses = append(statuses, a.call("GET", path, "", "").status)
	}
	if !reflect.DeepEqual(statuses, []int{404, 404, 404, 404, 404}) {
		t.Errorf("got %v", statuses)
	}
}
