package quota

import (
	"errors"
	"testing"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/settings"
)

func TestPolicyOfBounds(t *testing.T) {
	p := PolicyOf(&settings.Bounds{QuotaWindowS: 5, QuotaOvershoot: 0.1, QuotaAllowance: 20})
	if p != testPolicy {
		t.Errorf("PolicyOf: got %+v, want %+v", p, testPolicy)
	}
	if p := PolicyOf(&settings.Bounds{}); p.Lease <= 0 || p.Window <= 0 {
		t.Errorf("PolicyOf without bounds: got %+v, want a lease and a window", p)
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	err := newRefusal(fault.QuotaExceeded, "t", 70*time.Millisecond)
	if fault.KindOf(err) != fault.QuotaExceeded || RetryAfter(err) != 70*time.Millisecond {
		t.Errorf("refusal: got kind %v and RetryAfter %v, want fault.QuotaExceeded and 70 ms", fault.KindOf(err), RetryAfter(err))
	}
	if RetryAfter(errors.New("other")) != 0 {
		t.Error("RetryAfter of another error: want 0")
	}
}
