package load

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"nickelline/internal/member"
)

const (
	// mostCandidates is how many processes of a zone are tried as its collector.
	mostCandidates = 3
	// patience is how many messages to a collector may go without an answer before the next candidate is tried.
	patience = 3
	// returnAfter is when the first candidate is tried again.
	returnAfter = 4 * time.Second
)

// candidates gives the processes that may collect for the zones, by the table of members. Each node comes to the same list: the
// zone's processes of the preferred role, then the others, both by their addresses.
type candidates struct {
	members   func() *member.Table
	preferred string

	mutex  sync.Mutex
	table  *member.Table
	byZone map[string][]netip.AddrPort
}

// of gives the candidates of a zone.
func (c *candidates) of(zone string) []netip.AddrPort {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refresh()
	return c.byZone[zone]
}

// zones gives all zones that have processes.
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

func (c *candidates) refresh() {
	table := c.members()
	if table == c.table {
		return
	}
	c.table, c.byZone = table, map[string][]netip.AddrPort{}
	for _, preferred := range []bool{true, false} {
		for _, m := range table.Alive() {
			if (m.Role == c.preferred) == preferred && !m.Leaving && len(c.byZone[m.Zone]) < mostCandidates {
				c.byZone[m.Zone] = append(c.byZone[m.Zone], m.Address)
			}
		}
	}
}

// choice is which candidate of a zone is in use. One that does not answer gives way to the next.
type choice struct {
	position int
	unheard  int // messages since the last one that came
	movedAt  time.Time
}

// to gives the candidate to send the next message to.
func (c *choice) to(now time.Time, all []netip.AddrPort) (netip.AddrPort, bool) {
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	switch {
	case c.unheard >= patience:
		c.position, c.unheard, c.movedAt = c.position+1, 0, now
	case c.position != 0 && now.Sub(c.movedAt) >= returnAfter:
		c.position, c.unheard, c.movedAt = 0, 0, now
	}
	return all[c.position%len(all)], true
}

// asked counts a message that wants an answer.
func (c *choice) asked() { c.unheard++ }

// answers tells whether the candidate in use has answered lately.
func (c *choice) answers() bool { return c.unheard < patience }

// heard tells that the candidate in use has sent a message.
func (c *choice) heard() { c.unheard = 0 }
