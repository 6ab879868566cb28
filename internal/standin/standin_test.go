package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func options() Options {
	return Options{Identifier: "i-1", Service: "writer", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1, HealthPath: "/health"}
}

// send sends a request to a handler. The headers are alternating names and values.
func send(t *testing.T, handler http.Handler, method, target, body string, headers ...string) *http.Response {
	t.Helper()
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w.Result()
}

func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func TestResponse(t *testing.T) {
	b := NewBackend(options())
	resp := send(t, b, "POST", "/x/1?y=2", "body", headerAttemptID, "7f", headerExpectedInstance, "i-1", headerDeadlineRemaining, "10000")
	if resp.StatusCode != 200 || resp.Header.Get(headerAttemptID) != "7f" || resp.Header.Get(headerResponseSeal) == "" || resp.Header.Get(headerServerLoad) != "0,0,1" {
		t.Errorf("got status %d, headers %v, want status 200 with the id of the attempt, a seal and load 0,0,1", resp.StatusCode, resp.Header)
	}
	if got, want := readBody(t, resp), ResponseText("POST", "/x/1?y=2", []byte("body")); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestNotExecuted(t *testing.T) {
	full := NewBackend(options())
	full.slots <- struct{}{}
	ready := NewBackend(options())
	for name, c := range map[string]struct {
		backend *Backend
		status  int
		headers []string
	}{
		"no id":                {ready, 400, nil},
		"another instance":     {ready, 421, []string{headerAttemptID, "7f", headerExpectedInstance, "i-2"}},
		"a deadline of words":  {ready, 400, []string{headerAttemptID, "7f", headerDeadlineRemaining, "soon"}},
		"full at the deadline": {full, 503, []string{headerAttemptID, "7f", headerDeadlineRemaining, "1"}},
	} {
		resp := send(t, c.backend, "POST", "/x", "", c.headers...)
		if resp.StatusCode != c.status || resp.Header.Get(headerNotExecuted) == "" || resp.Header.Get(headerResponseSeal) != "" {
			t.Errorf("%s: got status %d, headers %v, want status %d without a seal, marked as not executed", name, resp.StatusCode, resp.Header, c.status)
		}
	}
	full.waiting.Store(1)
	if resp := send(t, full, "POST", "/x", "", headerAttemptID, "7f"); resp.StatusCode != 503 || resp.Header.Get(headerServerLoad) != "1,1,1" {
		t.Errorf("with a full queue: got status %d, headers %v, want status 503 and load 1,1,1", resp.StatusCode, resp.Header)
	}
}

func TestStream(t *testing.T) {
	b := NewBackend(options())
	resp := send(t, b, "POST", "/x", "", headerAttemptID, "7f", headerTokenUsage, "100,3")
	want := "id: 1\ndata: token 1 of 7f\n\nid: 2\ndata: token 2 of 7f\n\nid: 3\ndata: token 3 of 7f\n\n"
	if got := readBody(t, resp); got != want || resp.Header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("stream: got %q, headers %v, want %q as text/event-stream", got, resp.Header, want)
	}
	resp = send(t, b, "POST", "/x", "", headerAttemptID, "7f", headerTokenUsage, "100,3", headerLastEventID, "2")
	if got, want := readBody(t, resp), "id: 3\ndata: token 3 of 7f\n\n"; got != want {
		t.Errorf("resumed stream: got %q, want %q", got, want)
	}
	if resp := send(t, b, "POST", "/x", "", headerAttemptID, "7f", headerTokenUsage, "many"); resp.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("without a number of tokens: got status %d, want 422", resp.StatusCode)
	}
	if got, want := StreamText("7f", 2), "token 1 of 7f\ntoken 2 of 7f"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// A stream that is interrupted at its deadline must not look complete to the client.
func TestStreamInterruptedAtDeadline(t *testing.T) {
	o := options()
	o.TokenTime = time.Hour
	server := httptest.NewServer(NewBackend(o))
	defer server.Close()
	r, err := http.NewRequest("POST", server.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(headerAttemptID, "7f")
	r.Header.Set(headerTokenUsage, "100,3")
	r.Header.Set(headerDeadlineRemaining, "50")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("interrupted stream: got %q without an error, want a read error", body)
	}
}

func TestHealthAndReport(t *testing.T) {
	b := NewBackend(options())
	if resp := send(t, b, "GET", "/health", ""); resp.StatusCode != 200 || resp.Header.Get(headerInstanceID) != "i-1" {
		t.Errorf("health check: got status %d, headers %v, want status 200 and instance i-1", resp.StatusCode, resp.Header)
	}
	var report struct {
		Active        *int
		Models        []struct{ Name string }
		CacheCapacity *int
	}
	resp := send(t, b, "GET", reportPath, "")
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil || report.Active == nil || len(report.Models) != 1 || report.CacheCapacity == nil {
		t.Errorf("report: got %+v, error %v, want active, one model and cacheCapacity", report, err)
	}
	b.Drain()
	if resp := send(t, b, "GET", "/health", ""); resp.StatusCode != 503 || resp.Header.Get("Connection") != "close" {
		t.Errorf("health check while draining: got status %d, headers %v, want status 503 and Connection: close", resp.StatusCode, resp.Header)
	}
}

func TestList(t *testing.T) {
	var backends []*Backend
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		o := options()
		o.Identifier = id
		if id == "i-3" {
			o.Zone = "b"
		}
		backends = append(backends, NewBackend(o))
	}
	list := NewList(2, 0, backends...)
	list.SetState("i-2", StateDraining)
	for query, want := range map[string]string{
		"":                      "i-1 ready,i-2 draining next p-2",
		"?pageToken=p-2":        "i-3 ready",
		"?zone=b":               "i-3 ready",
		"?zone=c":               "",
		"?pageToken=p-1000":     "",
		"?zone=a&pageToken=p-1": "i-2 draining",
	} {
		var page Page
		resp := send(t, list, "GET", listPath+query, "")
		if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, i := range page.Instances {
			got = append(got, i.Identifier+" "+i.State)
		}
		line := strings.Join(got, ",")
		if page.NextToken != nil {
			line += " next " + *page.NextToken
		}
		if line != want {
			t.Errorf("list with query %q: got %q, want %q", query, line, want)
		}
	}
	if resp := send(t, list, "GET", listPath+"?pageToken=x", ""); resp.StatusCode != 400 {
		t.Errorf("invalid page token: got status %d, want 400", resp.StatusCode)
	}
}

func TestListRate(t *testing.T) {
	list := NewList(2, 2)
	now := list.refilledAt
	for i, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {0, true}, {0, false}, {time.Second / 4, false}, {time.Second / 4, true}, {0, false}} {
		now = now.Add(c.after)
		if got := list.allow(now); got != c.want {
			t.Errorf("call %d allowed: got %v, want %v", i, got, c.want)
		}
	}
}
