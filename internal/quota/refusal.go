package quota

import (
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/fault"
)

type retryAfterKey struct{}

// newRefusal makes the error of a request that has no token.
func newRefusal(kind fault.Kind, tenant string, wait time.Duration) error {
	err := fault.New(kind, "tenant %s has no request left", tenant)
	return merry.Wrap(err, merry.WithValue(retryAfterKey{}, wait), merry.NoCaptureStack())
}

// RetryAfter tells when a request that Take refused may be tried again; 0: not told.
func RetryAfter(err error) time.Duration {
	wait, _ := merry.Value(err, retryAfterKey{}).(time.Duration)
	return wait
}
