package quota

import (
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/fault"
)

type retryAfterKey struct{}

// newRefusal returns the error for a request that gets no token. The error carries the time after which to retry.
func newRefusal(kind fault.Kind, tenant string, wait time.Duration) error {
	err := fault.New(kind, "no quota token for tenant %s", tenant)
	return merry.Wrap(err, merry.WithValue(retryAfterKey{}, wait), merry.NoCaptureStack())
}

// RetryAfter returns the time after which a request that Take refused may be retried, 0 if it is not known.
func RetryAfter(err error) time.Duration {
	wait, _ := merry.Value(err, retryAfterKey{}).(time.Duration)
	return wait
}
