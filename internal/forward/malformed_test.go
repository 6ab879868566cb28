package forward

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"nickelline/internal/discovery"
	"nickelline/internal/responsehead"
)

// TestMalformedResponsesAreCounted checks that an operator sees how many responses were malformed, and why.
func TestMalformedResponsesAreCounted(t *testing.T) {
	b := startBackend(t, completeResponse("200 OK", "X A: a\r\n", "")+closeAfter)
	client := testClient(t, 0, b)
	for range 2 {
		if _, failure := client.Do(t.Context(), b.Backend, testRequest()); failure == nil {
			t.Fatal("got a response, want a failure")
		}
	}
	got, want := client.MalformedResponses(), map[string]uint64{string(responsehead.FieldName): 2}
	if !maps.Equal(got, want) {
		t.Errorf("malformed responses: got %v, want %v", got, want)
	}
}

// TestMalformedResponsesAreLogged checks that the log tells which backend sends malformed responses and why, and that many of them cost
// few entries.
func TestMalformedResponsesAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	m := newMalformedResponses(zap.New(core))
	malformed := fmt.Errorf("read: %w", &responsehead.MalformedError{Reason: responsehead.Status, Line: "HTTP/1.1 000 x"})
	start := time.Now()
	for i := range 30 {
		at := start.Add(time.Duration(i) * time.Second)
		m.record("i-1", malformed, at)
		m.record("i-1", errors.New("reset"), at)
		if i == 5 {
			m.record("i-2", malformed, at)
		}
	}
	type entry struct {
		backend   string
		responses int64
	}
	var got []entry
	for _, e := range logs.All() {
		fields := e.ContextMap()
		got = append(got, entry{fields["backend"].(string), fields["responses"].(int64)})
		if fields["reason"] != "status" || fields["line"] != "HTTP/1.1 000 x" {
			t.Errorf("entry: got %v, want the reason and the line", fields)
		}
	}
	if want := []entry{{"i-1", 1}, {"i-2", 1}, {"i-1", 10}, {"i-1", 10}}; !slices.Equal(got, want) {
		t.Errorf("entries: got %v, want %v", got, want)
	}
	m.retain(discovery.NewList([]discovery.Backend{{ID: "i-2"}}))
	if len(m.byBackend) != 1 || m.byBackend["i-2"] == nil {
		t.Errorf("backends: got %v, want the one that is listed", m.byBackend)
	}
}
