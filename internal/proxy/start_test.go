package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

func TestRetryAfterWithoutAConfigurationGrowsWithTheUptime(t *testing.T) {
	for _, test := range []struct{ uptime, want time.Duration }{
		{0, defaultRetryAfter},
		{defaultRetryAfter / startRetryFactor, defaultRetryAfter},
		{100 * time.Millisecond, 400 * time.Millisecond},
		{time.Second, maxStartRetryAfter},
		{time.Hour, maxStartRetryAfter},
	} {
		if got := configurationRetryAfter(test.uptime); got != test.want {
			t.Errorf("uptime %v: got %v, want %v", test.uptime, got, test.want)
		}
	}
}

// A process that has run for long without a configuration tells clients to come back when there may be one.
func TestMissingConfigurationIsAnsweredWithALongerRetryAfter(t *testing.T) {
	s := startTier(t, nil, startBackend(t, ok("")))
	s.removeConfiguration()
	s.startedAt = time.Now().Add(-time.Minute)
	answer := s.post(t, "/many/x")
	after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	least := (1 - retryJitter) * maxStartRetryAfter.Seconds()
	if answer.StatusCode != http.StatusServiceUnavailable || err != nil || after < least-0.001 {
		t.Errorf("got status %d, Retry-After %v, error %v; want 503 and %v at least", answer.StatusCode, after, err, least)
	}
}
