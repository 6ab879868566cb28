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

// TestPolicyBoundsTheWindow guards against limits for which all buckets together may hold more than the tolerance allows:
// what they hold when a window begins and what the rate adds in it must stay within the limit and the tolerance.
func TestPolicyBoundsTheWindow(t *testing.T) {
	policies := []Policy{
		testPolicy,
		{Window: time.Second, Lease: 2 * time.Second, Overshoot: 0.1, Allowance: 5},
		{Window: 60 * time.Second, Lease: 4 * time.Second, Overshoot: 0.05},
		{Window: 5 * time.Second, Lease: 4 * time.Second},
	}
	for _, p := range policies {
		for _, rate := range []float64{0.1, 1, 10, 171, 1000, 5000} {
			for _, burst := range []float64{0, 1, rate, 10 * rate} {
				limit := Limit{Rate: rate, Burst: burst}
				held := p.capacity(limit) + rate*(p.surplusSpan()+p.refundSpan()).Seconds()
				admitted := rate*p.Window.Seconds() + held
				allowed := (rate*p.Window.Seconds()+burst)*(1+p.Overshoot) + p.Allowance
				if admitted > allowed+1e-9 {
					t.Errorf("%+v, %+v: got %.1f requests in a window, want %.1f at most", p, limit, admitted, allowed)
				}
			}
		}
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
