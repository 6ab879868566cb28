package proxy

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// fakeBatch is a BatchAPI that records the last call and returns an error if one is set.
type fakeBatch struct {
	call string
	fail error
}

func (f *fakeBatch) Submit(_ context.Context, tenant string, route *configuration.Route, job string, body []byte) error {
	f.call = fmt.Sprintf("submit %s %s %s %s", tenant, route.Name, job, body)
	return f.fail
}

func (f *fakeBatch) Results(_ context.Context, tenant, job string, startAfter int, wait time.Duration) (batch.Page, error) {
	f.call = fmt.Sprintf("results %s %s %d %v", tenant, job, startAfter, wait)
	return batch.Page{Total: 40, Next: 14, Results: []batch.ListedResult{
		{Identifier: "e5", State: batch.Completed, Content: []byte("a\n<b>")}, {Identifier: "e6", State: batch.Abandoned},
	}}, f.fail
}

func (f *fakeBatch) ItemBody(_ context.Context, tenant, job, item string) ([]byte, error) {
	f.call = fmt.Sprintf("body %s %s %s", tenant, job, item)
	return []byte{0, 255}, f.fail
}

func (f *fakeBatch) End(_ context.Context, tenant, job string) error {
	f.call = fmt.Sprintf("end %s %s", tenant, job)
	return f.fail
}

func TestBatchRequests(t *testing.T) {
	get := func(target, fields string) string {
		return strings.Replace(requestText(target, fields, ""), "POST", "GET", 1)
	}
	for _, c := range []struct {
		name, text, call string
		fail             error
		status           int
		body             string
	}{
		{"submit", requestText("/batch/7c", "", "{}"), "submit t1 r-batch " + testID + " {}", nil, 202, "{}"},
		{"over the quota", requestText("/batch/7c", "", "{}"), "submit t1 r-batch " + testID + " {}", fault.New(fault.QuotaExceeded, "x"), 429, ""},
		{"unclear whether stored", requestText("/batch/7c", "", "{}"), "submit t1 r-batch " + testID + " {}", fault.New(fault.Unclear, "x"), 504, ""},
		{"submit by GET", get("/batch/7c", ""), "", nil, 400, ""},
		{"results", get("/-/lots/7c?startAfter=12", "Nickelline-Wait-Timeout-Ms: 1000\r\n"), "results t1 7c 12 1s", nil, 200,
			`{"total":40,"nextToken":14,"results":[{"identifier":"e5","state":"completed","content":"a\n\u003cb\u003e"},{"identifier":"e6","state":"abandoned","content":""}]}`},
		{"results from the start", get("/-/lots/7c", ""), "results t1 7c 0 0s", nil, 200, ""},
		{"results from an invalid position", get("/-/lots/7c?startAfter=-1", ""), "", nil, 400, ""},
		{"no such job", get("/-/lots/7c", ""), "results t1 7c 0 0s", fault.New(fault.NotFound, "x"), 404, ""},
		{"not ready", get("/-/lots/7c", ""), "results t1 7c 0 0s", fault.New(fault.NotReady, "x"), 503, ""},
		{"body", get("/-/items/7c?identifier=e5", ""), "body t1 7c e5", nil, 200, "\x00\xff"},
		{"end", strings.Replace(requestText("/-/lots/7c", "", ""), "POST", "DELETE", 1), "end t1 7c", nil, 200, "{}"},
		{"unsupported method", requestText("/-/lots/7c", "", ""), "", nil, 400, ""},
		{"another key", strings.Replace(get("/-/lots/7c", ""), testKey, "k2", 1), "results t1 7c 0 0s", nil, 200, ""},
		{"unknown key", strings.Replace(get("/-/lots/7c", ""), testKey, "k9", 1), "", nil, 401, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			api := &fakeBatch{fail: c.fail}
			s := startTestProxy(t, func(o *Options) { o.Batch = api })
			a := s.roundTrip(t, c.text)
			if a.StatusCode != c.status || c.body != "" && a.body != c.body {
				t.Errorf("response: got %d %q, want %d %q", a.StatusCode, a.body, c.status, c.body)
			}
			if api.call != c.call {
				t.Errorf("call: got %q, want %q", api.call, c.call)
			}
		})
	}
}

func TestBatchRequestsNeedProof(t *testing.T) {
	api := &fakeBatch{}
	s := startTestProxy(t, func(o *Options) { o.Batch = api })
	s.setProofAge(time.Minute)
	if a := s.post(t, "/batch/7c"); a.StatusCode != 503 || api.call != "" {
		t.Errorf("got status %d and call %q, want 503 and no call", a.StatusCode, api.call)
	}
}

// TestResultInAnUnknownStateIsNoAnswer guards against a result that is read as abandoned because a store lists it in a state that this
// program does not know.
func TestResultInAnUnknownStateIsNoAnswer(t *testing.T) {
	for _, state := range []batch.State{batch.Waiting, batch.Abandoned + 1} {
		_, err := encodeResults(batch.Page{Total: 1, Next: 1, Results: []batch.ListedResult{{Identifier: "e5", State: state}}})
		if fault.KindOf(err) != fault.NotReady {
			t.Errorf("state %d: got error %v, want one of kind NotReady", state, err)
		}
	}
}
