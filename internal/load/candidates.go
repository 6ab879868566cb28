package load

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"nickelline/internal/member"
)

const (
	// maxCandidates is the maximum number of candidates of a zone.
	maxCandidates = 3
	// maxUnanswered is the number of messages without a response after which the next candidate is tried.
	maxUnanswered = 3
	// returnAfter is the time after a switch to another candidate at which the first candidate is tried again.
	returnAfter = 4 * time.Second
)

// candidates lists the processes of each zone that may be its collector. All nodes with the same membership table get the
// same lists: the zone's processes of the preferred role, then the others, both ordered by address.
type candidates struct {
	members       func() *member.Table
	preferredRole string

	mutex  sync.Mutex
	table  *member.Table
	byZone map[string][]netip.AddrPort
}

// inZone returns the candidates of a zone, the preferred ones first.
func (c *candidates) inZone(zone string) []netip.AddrPort {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refresh()
	return c.byZone[zone]
}

// zones returns all zones that have processes, sorted.
func (c *candidates) zones() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refresh()
	zones := make([]string, 0, len(c.byZone))
	for zone := range c.byZone {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// refresh recomputes the lists if the membership table has changed. The caller holds the mutex.
func (c *candidates) refresh() {
	table := c.members()
	if table == c.table {
		return
	}
	c.table, c.byZone = table, map[string][]netip.AddrPort{}
	for _, preferred := range []bool{true, false} {
		for _, m := range table.Running() {
			if (m.Role == c.preferredRole) == preferred && !m.Leaving && len(c.byZone[m.Zone]) < maxCandidates {
				c.byZone[m.Zone] = append(c.byZone[m.Zone], m.Address)
			}
		}
	}
}

// collectorChoice selects the candidate of a zone that is used as its collector. A candidate that does not respond is
// replaced by the next one.
type collectorChoice struct {
	index      int // of the current candidate
	unanswered int // messages sent since the last one was received
	switchedAt time.Time
}

// target returns the candidate to send the next message to, or false if there are no candidates. It may switch to another
// candidate.
func (c *collectorChoice) target(now time.Time, all []netip.AddrPort) (netip.AddrPort, bool) {
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	switch {
	case c.unanswered >= maxUnanswered:
		c.index, c.unanswered, c.switchedAt = c.index+1, 0, now
	case c.index != 0 && now.Sub(c.switchedAt) >= returnAfter:
		c.index, c.unanswered, c.switchedAt = 0, 0, now
	}
	return all[c.index%len(all)], true
}

// messageSent counts a message that requires a response.
func (c *collectorChoice) messageSent() { c.unanswered++ }

// isResponsive reports whether fewer than maxUnanswered messages to the current candidate are without a response.
func (c *collectorChoice) isResponsive() bool { return c.unanswered < maxUnanswered }

// messageReceived records a message from the current candidate.
func (c *collectorChoice) messageReceived() { c.unanswered = 0 }
