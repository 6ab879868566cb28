package chain

import (
	"slices"
	"testing"
	"time"
)

// Histories in which one member of the view is cut off for long, both ways or one way, while clients read and write at all sites.
const (
	longCutAt       = 3 * time.Second
	longCutTime     = 20 * time.Second
	longCutDuration = longCutAt + longCutTime + 2*time.Second
	longCutGroups   = 20 // moments at which other clients do something
	probePeriod     = 100 * time.Millisecond
	readPeriod      = 500 * time.Millisecond

	// takesAgainWithin bounds how long the other side takes no command after the cut: detectionTime, one attempt with its wait
	// for promises, the delivery of the view, and a client's pause before it tries again.
	takesAgainWithin = 1500 * time.Millisecond
)

func TestLongCut(t *testing.T) {
	for position, name := range []string{"head", "middle", "tail"} {
		for direction, how := range []string{"both ways", "what it sends", "what it is sent"} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				longest := time.Duration(0)
				for seed := range uint64(6) {
					s := newLongCut(t, 7000+seed, position, direction)
					s.run()
					longest = max(longest, s.longestPause(t))
					s.checkCutSide(t, direction)
				}
				t.Logf("no command was taken for %v at the most", longest)
			})
		}
	}
}

// longCut is a history with one long cut.
type longCut struct {
	*simulation
	target       *site
	began, ended time.Duration
}

func newLongCut(t *testing.T, seed uint64, position, direction int) *longCut {
	cut := &longCut{simulation: newAgreedSimulation(t, seed)}
	cut.duration = longCutDuration
	cut.operationGroups = longCutGroups
	cut.network.Conditions.Loss = 0
	cut.planTroubles = func() {
		cut.network.At(cut.network.Now()+longCutAt, func() { cut.begin(position, direction) })
	}
	return cut
}

func (c *longCut) begin(position, direction int) {
	if position == 2 {
		position = len(c.newest.Members) - 1
	}
	c.target = c.siteAt(c.newest.Members[position].Address)
	c.began = c.network.Now()
	c.ended = c.began + longCutTime
	c.isolate(c.target, longCutTime, direction)
	for at := c.began; at < c.ended; at += probePeriod {
		c.network.At(at, func() { c.proposeAt(c.otherSite()) })
	}
	for at := c.began; at < c.ended; at += readPeriod {
		c.network.At(at, func() { c.readAt(c.target) })
		c.network.At(at, func() { c.readAt(c.otherSite()) })
	}
}

// otherSite draws a site that is not cut off.
func (c *longCut) otherSite() *site {
	for {
		if other := c.sites[c.random.IntN(len(c.sites))]; other != c.target {
			return other
		}
	}
}

// longestPause returns the longest time, within the cut, between two commands that were taken one after the other.
func (c *longCut) longestPause(t *testing.T) time.Duration {
	t.Helper()
	last, longest := c.began, time.Duration(0)
	var ends []time.Duration
	for _, o := range c.operations {
		if o.done && !o.read && o.end >= c.began && o.end <= c.ended {
			ends = append(ends, o.end)
		}
	}
	slices.Sort(ends)
	for _, end := range ends {
		longest = max(longest, end-last)
		last = end
	}
	longest = max(longest, c.ended-last)
	if longest > takesAgainWithin {
		c.fail("no command was taken for %v", longest)
	}
	return longest
}

// checkCutSide looks that a site which is cut off both ways answers no read.
func (c *longCut) checkCutSide(t *testing.T, direction int) {
	t.Helper()
	for _, o := range c.operations {
		if direction == 0 && o.read && o.done && o.at == c.target && o.begin > c.began && o.end < c.ended {
			c.fail("site %d answered a read though it was cut off: %+v", c.target.index, *o)
		}
	}
}
