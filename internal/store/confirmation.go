package store

import (
	"context"
	"sync"
	"time"
)

// confirmation holds the time of the last confirmation by the chain that this replica is in the newest view and has applied all
// committed commands. At the head it confirms leadership: like a lease it is valid for a limited time, which counts from the moment
// when the confirmation was requested. It is safe for concurrent use.
type confirmation struct {
	mutex sync.Mutex
	asOf  time.Time
}

// record records that a barrier or a commit that was requested at the given time has succeeded.
func (c *confirmation) record(requested time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if requested.After(c.asOf) {
		c.asOf = requested
	}
}

// reset discards the confirmation.
func (c *confirmation) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asOf = time.Time{}
}

// isFresh reports whether there is a confirmation whose age is below maxAge.
func (c *confirmation) isFresh(maxAge time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.asOf.IsZero() && time.Since(c.asOf) < maxAge
}

// confirm returns at once if there is a confirmation whose age is below maxAge, and otherwise waits for a barrier. With a maxAge of
// 0 it always waits for a barrier.
func (p *partition) confirm(ctx context.Context, maxAge time.Duration) error {
	if maxAge > 0 && p.confirmation.isFresh(maxAge) {
		return nil
	}
	requested := time.Now()
	if err := p.replica.Barrier(ctx); err != nil {
		return err
	}
	p.confirmation.record(requested)
	return nil
}
