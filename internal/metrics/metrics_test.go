package metrics

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestParseEndpoint(t *testing.T) {
	if e, err := ParseEndpoint("7674/figures/all"); err != nil || e != (Endpoint{Port: 7674, Path: "/figures/all"}) {
		t.Errorf("ParseEndpoint: got %+v, error %v; want port 7674 and path /figures/all", e, err)
	}
	for _, text := range []string{"", "7674", "7674/", "/metrics", "0/metrics", "70000/metrics", "x/metrics", "-1/metrics"} {
		if e, err := ParseEndpoint(text); err == nil {
			t.Errorf("ParseEndpoint of %q: got %+v, want an error", text, e)
		}
	}
}

func TestMetricsAreServed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(listener, "/metrics")
	s.Add(func(w *Writer) { w.Counter("answers_total", 7, Label{"service", `a"b`}, Label{"kind", "ok"}) })
	s.Add(func(w *Writer) { w.Gauge("share", 0.25) })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := s.Serve(); err != nil {
			t.Error(err)
		}
	}()
	answer, err := http.Get("http://" + listener.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("GET /metrics: got status %d, error %v; want 200", answer.StatusCode, err)
	}
	for _, want := range []string{`answers_total{service="a\"b",kind="ok"} 7`, "share 0.25", "go_memstats_heap"} {
		if !strings.Contains(string(body), want) {
			t.Errorf("metrics: got no %q, want it in:\n%.400s", want, body)
		}
	}
	s.Close()
	<-ended
}
