package batch

import "time"

// clock is the time of a partition: the sum of what successive heads measured with their own monotonic clocks. Spans that no
// head measured are not counted, so that the clock is never faster than real time, and the age of a job is a lower bound.
type clock struct {
	now  time.Duration
	last ClockReading
}

// advance moves the clock to a reading of a head. A reading that is older than the last one changes nothing; the first one of a
// new source only becomes the reading to count from.
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
