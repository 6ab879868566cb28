package admission

import (
	"fmt"
	"testing"
	"time"
)

func TestSharedPrefixesUseFewBackends(t *testing.T) {
	p := newTestPool(backendsOf(9, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	backendsBySession := map[string]map[string]bool{}
	for i := range 4000 {
		session := fmt.Sprintf("session-%d", i%40)
		ticket := mustPick(t, p, at(0), Request{Prefix: []string{"system", session, fmt.Sprintf("own-%d", i)}})
		if i >= 400 {
			if backendsBySession[session] == nil {
				backendsBySession[session] = map[string]bool{}
			}
			backendsBySession[session][ticket.Backend.ID] = true
		}
		ticket.Done(at(0), Cancelled, nil)
	}
	total := 0
	for _, backends := range backendsBySession {
		total += len(backends)
	}
	if mean := float64(total) / float64(len(backendsBySession)); mean > 1.5 {
		t.Errorf("backends per session: got %.1f on average, want at most 1.5", mean)
	}
}

func TestPrefixDoesNotOverloadOneBackend(t *testing.T) {
	p := newTestPool(backendsOf(9, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	counts := map[string]int{}
	for range 360 {
		counts[mustPick(t, p, at(0), Request{Prefix: []string{"one"}}).Backend.ID]++
	}
	for id, count := range counts {
		if count > 100 {
			t.Errorf("%s: got %d of 360 requests with the same prefix, want at most 100", id, count)
		}
	}
}

func TestSegmentMemoryIsBounded(t *testing.T) {
	m := newSegmentSet()
	for i := range uint64(5 * segmentsPerGeneration) {
		m.record(i + 1)
	}
	if kept := len(m.recent) + len(m.older); kept > 2*segmentsPerGeneration {
		t.Errorf("remembered segments: got %d, want at most %d", kept, 2*segmentsPerGeneration)
	}
	if !m.record(5 * segmentsPerGeneration) {
		t.Error("last segment: got not in the set, want in the set")
	}
}
