package control

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"nickelline/internal/control/controlapi"
)

// testAPI is a server of the operator's API on a loopback address, with a fake chain.
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

// startTestAPI serves the API on a loopback address until the test ends. Calls of the returned testAPI do not follow redirects.
func startTestAPI(t *testing.T, s *service, status func() controlapi.Status, otherNode func() (netip.AddrPort, bool)) *testAPI {
	t.Helper()
	listener, err := listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	a := newAPI(listener, s, status, otherNode)
	ended := make(chan error, 1)
	go func() { ended <- a.run() }()
	t.Cleanup(func() {
		a.stop()
		if err := <-ended; !isServerClosed(err) {
			t.Errorf("run: got error %v, want that of a closed server", err)
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
