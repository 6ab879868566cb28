package gossip

import (
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/member"
)

const (
	// announceDelay is the time between storing a new version and announcing it. It lets the proof that follows the version
	// arrive before other members fetch both.
	announceDelay = 5 * time.Millisecond

	// controlFanout and fanout are the numbers of members of its own zone to which a control process and any other process
	// announce a new version.
	controlFanout = 16
	fanout        = 4
)

// announcer holds the topics with a new version that has not been announced yet.
type announcer struct {
	due     time.Duration
	pending [topicCount]pendingAnnouncement
}

type pendingAnnouncement struct {
	valid         bool
	publishedHere bool // whether this process published the version
}

// add schedules the announcement of the local version of a topic.
func (a *announcer) add(now time.Duration, topic Topic, publishedHere bool) {
	a.pending[topic] = pendingAnnouncement{valid: true, publishedHere: publishedHere}
	a.due = min(a.due, now+announceDelay)
}

// announce announces the pending versions to a few members of the same zone, and those that this process published to one
// member of each other zone as well.
func (d *disseminator) announce() {
	d.announcer.due = never
	var all, publishedHere []summary
	for i := range d.announcer.pending {
		pending := &d.announcer.pending[i]
		if !pending.valid {
			continue
		}
		s := summary{topic: Topic(i), version: d.entries[i].value.Version, age: UnknownAge}
		all = append(all, s)
		if pending.publishedHere {
			publishedHere = append(publishedHere, s)
		}
		*pending = pendingAnnouncement{}
	}
	if len(all) > 0 {
		d.output.announcements = append(d.output.announcements, announcement{to: d.ownZoneTargets(), summaries: all})
	}
	if len(publishedHere) > 0 {
		d.output.announcements = append(d.output.announcements, announcement{to: d.otherZoneTargets(), summaries: publishedHere})
	}
}

func (d *disseminator) ownZoneTargets() []netip.AddrPort {
	count := fanout
	if d.self.Role == ControlRole {
		count = controlFanout
	}
	return d.pick(d.members().Running(), count, d.inOwnZone)
}

// otherZoneTargets returns one member of each other zone, a control process if the zone has one.
func (d *disseminator) otherZoneTargets() []netip.AddrPort {
	table := d.members()
	var targets []netip.AddrPort
	for _, zone := range d.otherZones() {
		inZone := func(m *member.Member) bool { return m.Zone == zone }
		target, found := d.pickOne(table.ByRole(ControlRole), inZone)
		if !found {
			target, found = d.pickOne(table.Running(), inZone)
		}
		if found {
			targets = append(targets, target)
		}
	}
	return targets
}

func (d *disseminator) otherZones() []string {
	var zones []string
	running := d.members().Running()
	for i := range running {
		zone := running[i].Zone
		if zone != d.self.Zone && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}
