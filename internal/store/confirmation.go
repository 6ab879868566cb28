package store

import (
	"context"
	"sync"
	"time"
)

// confirmation remembers when the chain last confirmed that this replica is in the newest view and has applied all that was
// committed. For the head it is the confirmation of leadership: like a lease it is good for a limited time, which counts from
// when the confirmation was requested. It is safe for concurrent use.
type confirmation struct {
	mutex sync.Mutex
	asOf  time.Time
}

// record notes that a barrier or a commit has succeeded that was requested at a time.
func (c *confirmation) record(requested time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if requested.After(c.asOf) {
		c.asOf = requested
	}
}

// reset forgets the confirmation.
func (c *confirmation) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asOf = time.Time{}
}

// isYoungerThan reports whether there is a confirmation younger than an age.
func (c *confirmation) isYoungerThan(age time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.asOf.IsZero() && time.Since(c.asOf) < age
}

// confirm returns at once if there is a confirmation younger than maxAge, and otherwise passes a barrier. A maxAge of 0 always
// does.
func (p *partition) confirm(ctx context.Context, maxAge time.Duration) error {
	if maxAge > 0 && p.confirmation.isYoungerThan(maxAge) {
		return nil
	}
	requested := time.Now()
	if err := p.replica.Barrier(ctx); err != nil {
		return err
	}
	p.confirmation.record(requested)
	return nil
}
