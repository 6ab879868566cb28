package store

import (
	"math/rand/v2"
	"time"

	"nickelline/internal/batch"
)

// headClock reads the monotonic clock of this process. Its source number is random, so that the state machine distinguishes the
// readings of different heads and never compares them.
type headClock struct {
	source uint64
	start  time.Time
}

func newHeadClock() *headClock {
	return &headClock{source: rand.Uint64() | 1, start: time.Now()}
}

// reading returns the reading of the clock at a time.
func (c *headClock) reading(now time.Time) batch.ClockReading {
	return batch.ClockReading{Source: c.source, Elapsed: now.Sub(c.start)}
}
