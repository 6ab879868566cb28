package batch

import "time"

// clock is the time of a partition: the sum of the times that successive heads measured with their own monotonic clocks. Time
// that no head measured is not counted, so the clock is never faster than real time, and the age of a job is a lower bound. That
// requires that a head takes its readings, and commits them, while no other head does.
type clock struct {
	now  time.Duration
	last ClockReading
}

// advance moves the clock to a reading of a head. A reading that is older than the last one of its source changes nothing. The
// first reading of a new source does not move the clock: later readings of the source are counted from it.
func (c *clock) advance(r ClockReading) {
	c.now = c.at(r)
	if r.Source != c.last.Source || r.Elapsed > c.last.Elapsed {
		c.last = r
	}
}

// at returns the time of the clock at a reading.
func (c *clock) at(r ClockReading) time.Duration {
	if r.Source != c.last.Source || r.Elapsed <= c.last.Elapsed {
		return c.now
	}
	return c.now + r.Elapsed - c.last.Elapsed
}
