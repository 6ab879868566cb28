package control

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"nickelline/internal/control/controlapi"
)

func TestConfigurationOverHTTP(t *testing.T) {
	a := newTestAPI(t)
	a.expect("GET", controlapi.ConfigurationPath, "", "", 404)
	a.expect("PUT", controlapi.ConfigurationPath, "", documentText(3, 10), 400)
	a.expect("PUT", controlapi.ConfigurationPath, "x", documentText(3, 10), 400)
	a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 0), 400)
	if got := a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 200); got.body != `{"version":3}` {
		t.Errorf("got body %s, want version 3", got.body)
	}
	a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 200)
	a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 11), 412)
	a.expect("PATCH", controlapi.ConfigurationPath, "3", patchText(3, 20), 400)
	a.expect("PATCH", controlapi.ConfigurationPath, `"3"`, patchText(5, 20), 200)
	a.expect("PATCH", controlapi.ConfigurationPath, "3", patchText(6, 20), 412)
	a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 200)
	got := a.expect("GET", controlapi.ConfigurationPath, "", "", 200)
	if !strings.Contains(got.body, `"version":5`) || !strings.Contains(got.body, `"timeoutMs":20`) {
		t.Errorf("got body %s, want version 5 with a timeout of 20 ms", got.body)
	}
	if got.header.Get("Content-Type") != "application/json" || got.header.Get("ETag") != `"5"` {
		t.Errorf("got headers %v, want JSON with the ETag of version 5", got.header)
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	a := newTestAPI(t)
	a.replica.fail(errNotReady)
	got := a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 503)
	if got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "no head") {
		t.Errorf("got headers %v and body %s, want a Retry-After header and the cause in the body", got.header, got.body)
	}
	a.expect("GET", controlapi.ConfigurationPath, "", "", 503)
	a.replica.fail(errUnclear)
	if got := a.expect("PUT", controlapi.ConfigurationPath, "0", documentText(3, 10), 504); got.header.Get("Retry-After") != "" {
		t.Error("unclear outcome: got a Retry-After header, want none")
	}
	a.expect("POST", controlapi.RetirePath+"a", "", "", 504)
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
		t.Errorf("got body %s, want state in_progress", got.body)
	}
	if _, err := a.replica.Propose(t.Context(), mustEncodeCommand(t, complete("a", 1, 0))); err != nil {
		t.Fatal(err)
	}
	if got := a.expect("GET", controlapi.RetirePath+"a", "", "", 200); got.body != `{"state":"completed"}` {
		t.Errorf("got body %s, want state completed", got.body)
	}
	if retirement, _ := a.replica.machine.State().Retirement("a"); retirement.Duration != 10*time.Second {
		t.Errorf("got %+v, want a duration of 10 s", retirement)
	}
}

func TestStatusOverHTTP(t *testing.T) {
	a := newTestAPI(t)
	if got := a.expect("GET", controlapi.StatusPath, "", "", 200); !strings.Contains(got.body, `"node":"n-1"`) {
		t.Errorf("got body %s, want the status of node n-1", got.body)
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
			t.Errorf("%q: got no error, want one", text)
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
		t.Errorf("got statuses %v, want 404 for each path", statuses)
	}
}
