package chain

import (
	"slices"
	"testing"
	"time"
)

// Histories in which one member of the view is partitioned from the others for a long time, in both directions or in one,
// while clients read and write at all sites.
const (
	longPartitionAt       = 3 * time.Second
	longPartitionTime     = 20 * time.Second
	longPartitionDuration = longPartitionAt + longPartitionTime + 2*time.Second
	longPartitionGroups   = 20 // groups of operations of other clients
	probePeriod           = 100 * time.Millisecond
	readPeriod            = 500 * time.Millisecond

	// writableWithin bounds the time between two commands that the other side commits during the partition. It covers
	// detectionTime, one attempt with its wait for promises, the delivery of the view, and a client's pause before a retry.
	writableWithin = 1500 * time.Millisecond
)

func TestLongPartition(t *testing.T) {
	for position, name := range []string{"head", "middle", "tail"} {
		for direction, how := range []string{"both ways", "what it sends", "what it is sent"} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				longest := time.Duration(0)
				for seed := range uint64(6) {
					s := newLongPartition(t, 7000+seed, position, direction)
					s.run()
					longest = max(longest, s.longestPause(t))
					s.checkIsolatedSide(t, direction)
				}
				t.Logf("longest time without a committed command: %v", longest)
			})
		}
	}
}

// longPartition is a history with one long partition.
type longPartition struct {
	*simulation
	target       *site
	began, ended time.Duration
}

func newLongPartition(t *testing.T, seed uint64, position, direction int) *longPartition {
	history := &longPartition{simulation: newAgreedSimulation(t, seed)}
	history.duration = longPartitionDuration
	history.operationGroups = longPartitionGroups
	history.network.Conditions.Loss = 0
	history.planFaults = func() {
		history.network.At(history.network.Now()+longPartitionAt, func() { history.begin(position, direction) })
	}
	return history
}

func (c *longPartition) begin(position, direction int) {
	if position == 2 {
		position = len(c.newest.Members) - 1
	}
	c.target = c.siteAt(c.newest.Members[position].Address)
	c.began = c.network.Now()
	c.ended = c.began + longPartitionTime
	c.isolate(c.target, longPartitionTime, direction)
	for at := c.began; at < c.ended; at += probePeriod {
		c.network.At(at, func() { c.proposeAt(c.otherSite()) })
	}
	for at := c.began; at < c.ended; at += readPeriod {
		c.network.At(at, func() { c.readAt(c.target) })
		c.network.At(at, func() { c.readAt(c.otherSite()) })
	}
}

// otherSite returns a random site on the other side of the partition.
func (c *longPartition) otherSite() *site {
	for {
		if other := c.sites[c.random.IntN(len(c.sites))]; other != c.target {
			return other
		}
	}
}

// longestPause returns the longest time during the partition in which no command was committed, and fails if it exceeds
// writableWithin.
func (c *longPartition) longestPause(t *testing.T) time.Duration {
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
	if longest > writableWithin {
		c.fatalf("longest time without a committed command: got %v, want at most %v", longest, writableWithin)
	}
	return longest
}

// checkIsolatedSide checks that a site that is isolated in both directions answers no read.
func (c *longPartition) checkIsolatedSide(t *testing.T, direction int) {
	t.Helper()
	for _, o := range c.operations {
		if direction == 0 && o.read && o.done && o.at == c.target && o.begin > c.began && o.end < c.ended {
			c.fatalf("site %d answered a read while it was isolated: %+v", c.target.index, *o)
		}
	}
}
