package discovery

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fakePlatform serves entries in pages of two, and counts the calls. fail returns the status with which a call fails,
// or 0.
func fakePlatform(t *testing.T, entries []instance, fail func(call int64) int) (*Platform, *atomic.Int64) {
	t.Helper()
	calls := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status := fail(calls.Add(1)); status != 0 {
			w.WriteHeader(status)
			return
		}
		first, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("pageToken"), "p-"))
		last := min(first+2, len(entries))
		answer := page{Instances: entries[first:last]}
		if last < len(entries) {
			token := "p-" + strconv.Itoa(last)
			answer.NextToken = &token
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(server.Close)
	platform, err := NewPlatform(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), testRate)
	if err != nil {
		t.Fatal(err)
	}
	platform.pause = func(context.Context, time.Duration) error { return nil }
	return platform, calls
}

func fiveEntries() []instance {
	entries := make([]instance, 5)
	for i := range entries {
		entries[i] = instance{
			Identifier:      "i-" + strconv.Itoa(9-i),
			Service:         "s",
			Address:         netip.MustParseAddrPort("10.0.0.1:80"),
			CapacitySlots:   6,
			State:           "ready",
			ColdRemainingMs: 250,
		}
	}
	entries[2].State = "draining"
	return entries
}

func noFailure(int64) int { return 0 }

func ignorePage([]Backend) {}

func TestReadAllPages(t *testing.T) {
	platform, calls := fakePlatform(t, fiveEntries(), noFailure)
	listing, err := platform.Read(t.Context(), false, ignorePage)
	if err != nil {
		t.Fatal(err)
	}
	if listing.List.Len() != 5 || listing.Pages != 3 || calls.Load() != 3 {
		t.Errorf("Read: got %d backends in %d pages with %d calls, want 5, 3 and 3", listing.List.Len(), listing.Pages, calls.Load())
	}
	if b, ok := listing.List.Get("i-7"); !ok || !b.Draining {
		t.Errorf("draining backend: got %+v", b)
	}
	if ready := listing.List.ByService("s"); len(ready) != 4 || ready[0].ID != "i-5" || ready[0].Slots != 6 {
		t.Errorf("ready backends: got %+v, want 4", ready)
	}
}

func TestReadBacksOffOverTheRate(t *testing.T) {
	platform, calls := fakePlatform(t, fiveEntries(), func(call int64) int {
		if call == 2 {
			return http.StatusTooManyRequests
		}
		return 0
	})
	listing, err := platform.Read(t.Context(), false, ignorePage)
	if err != nil || listing.List.Len() != 5 || calls.Load() != 4 {
		t.Errorf("Read: got %+v with %d calls, error %v; want 5 backends with 4 calls", listing, calls.Load(), err)
	}
}

func TestReadIsWholeOrNotAtAll(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusInternalServerError} {
		platform, _ := fakePlatform(t, fiveEntries(), func(call int64) int {
			if call >= 3 {
				return status
			}
			return 0
		})
		if listing, err := platform.Read(t.Context(), false, ignorePage); err == nil || listing.List != nil {
			t.Errorf("status %d on the third page: got %+v, error %v; want no list and an error", status, listing, err)
		}
	}
}

// Each page is reported as it arrives, and a listing of many pages is polled no faster than the platform's rate limit
// allows.
func TestReadReportsPagesAndKeepsToTheRate(t *testing.T) {
	const pages = 60
	entries := make([]instance, 2*pages)
	for i := range entries {
		entries[i] = instance{Identifier: "i-" + strconv.Itoa(i), Address: netip.MustParseAddrPort("10.0.0.1:80")}
	}
	platform, calls := fakePlatform(t, entries, noFailure)
	var paused time.Duration
	platform.pause = func(_ context.Context, d time.Duration) error { paused += d; return nil }
	reported := 0
	listing, err := platform.Read(t.Context(), true, func(page []Backend) {
		if reported++; int64(reported) != calls.Load() || len(page) != 2 {
			t.Errorf("onPage: got page %d of %d backends after %d calls", reported, len(page), calls.Load())
		}
	})
	if err != nil || listing.Pages != pages || reported != pages {
		t.Fatalf("Read: got %d pages, %d of them reported, error %v; want %d", listing.Pages, reported, err, pages)
	}
	if least := fraction(time.Second, (pages-testRate)/testRate); paused < least {
		t.Errorf("%d pages: got pauses of %v in all, too short for a rate of %v", pages, paused, testRate)
	}
}

// A listing that never ends is given up after maxPages pages, all of which count as calls.
func TestReadGivesUpAListingWithoutAnEnd(t *testing.T) {
	entries := make([]instance, 2*(maxPages+1))
	for i := range entries {
		entries[i] = instance{Identifier: "i-" + strconv.Itoa(i), Address: netip.MustParseAddrPort("10.0.0.1:80")}
	}
	platform, calls := fakePlatform(t, entries, noFailure)
	listing, err := platform.Read(t.Context(), true, ignorePage)
	if err == nil || listing.List != nil {
		t.Errorf("Read: got %+v, error %v; want no list and an error", listing.List, err)
	}
	if int64(listing.Pages) != calls.Load() || listing.Pages != maxPages {
		t.Errorf("pages: got %d with %d calls, want %d", listing.Pages, calls.Load(), maxPages)
	}
}
