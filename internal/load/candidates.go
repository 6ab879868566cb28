package load

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"nickelline/internal/member"
)

const (
	// maxCandidates is how many processes of a zone may be its collector.
	maxCandidates = 3
	// maxUnanswered is how many messages may go without a response before the next candidate is tried.
	maxUnanswered = 3
	// returnAfter is when the first candidate is tried again.
	returnAfter = 4 * time.Second
)

// candidates returns the processes that may be collectors of the zones. All nodes with the same membership table get
// the same list: the zone's processes of the preferred role, then the others, both ordered by address.
type candidates struct {
	members   func() *member.Table
	preferred string

	mutex  sync.Mutex
	table  *member.Table
	byZone map[string][]netip.AddrPort
}

// inZone returns the candidates of a zone.
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

// refresh computes the candidates anew if the membership table has changed. The caller holds the mutex.
func (c *candidates) refresh() {
	table := c.members()
	if table == c.table {
		return
	}
	c.table, c.byZone = table, map[string][]netip.AddrPort{}
	for _, preferred := range []bool{true, false} {
		for _, m := range table.Alive() {
			if (m.Role == c.preferred) == preferred && !m.Leaving && len(c.byZone[m.Zone]) < maxCandidates {
				c.byZone[m.Zone] = append(c.byZone[m.Zone], m.Address)
			}
		}
	}
}

// collectorChoice selects the candidate of a zone to use. One that does not respond is replaced by the next.
type collectorChoice struct {
	index      int
	unanswered int // messages sent since the last one that was received
	switchedAt time.Time
}

// target returns the candidate to send the next message to, if there is any.
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

// messageSent counts a message that wants a response.
func (c *collectorChoice) messageSent() { c.unanswered++ }

// isResponsive reports whether the current candidate has responded lately.
func (c *collectorChoice) isResponsive() bool { return c.unanswered < maxUnanswered }

// messageReceived records a message from the current candidate.
func (c *collectorChoice) messageReceived() { c.unanswered = 0 }
