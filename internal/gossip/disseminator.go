package gossip

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"nickelline/internal/driver"
	"nickelline/internal/member"
)

// never is later than any time of the clock.
const never = driver.Never

// disseminator is the state machine of dissemination, run by a driver. Times are by the clock of its driver.
type disseminator struct {
	random    *rand.Rand
	self      member.Member
	members   func() *member.Table
	heartbeat time.Duration

	entries     [topicCount]entry
	announcer   announcer
	antiEntropy antiEntropy

	output output
}

// output holds the actions that the service has to perform.
type output struct {
	announcements []announcement
	digest        *digestCall // nil for none
	fetches       []fetchCall
	values        []Value // with which to call the subscribers
}

func newDisseminator(self member.Member, members func() *member.Table, heartbeat time.Duration, random *rand.Rand, now time.Duration) *disseminator {
	return &disseminator{
		random:      random,
		self:        self,
		members:     members,
		heartbeat:   heartbeat,
		announcer:   announcer{due: never},
		antiEntropy: antiEntropy{nextExchange: now, retryDelay: initialRetryDelay},
	}
}

// Next returns when Advance has to be called if no event occurs earlier.
func (d *disseminator) Next() time.Duration {
	due := min(d.announcer.due, d.antiEntropy.due())
	for i := range d.entries {
		due = min(due, d.entries[i].fetchDue())
	}
	return due
}

// Advance performs the actions that are due.
func (d *disseminator) Advance(now time.Duration) {
	if now >= d.announcer.due {
		d.announce()
	}
	d.advanceAntiEntropy(now)
	d.advanceFetches(now)
}

// Take returns the output since the last call. Before the start it returns only the values for the subscribers and
// retains the rest.
func (d *disseminator) Take(started bool) output {
	if !started {
		values := d.output.values
		d.output.values = nil
		return output{values: values}
	}
	taken := d.output
	d.output = output{}
	return taken
}

// publish stores a version that this process publishes, with the steps to it from the local version.
func (d *disseminator) publish(now time.Duration, v Value, steps []step) {
	d.store(now, v, steps, true)
	d.Advance(now)
}

// store stores a value if it is newer than the local one, and schedules its delivery to the subscribers and its
// announcement.
func (d *disseminator) store(now time.Duration, v Value, steps []step, publishedHere bool) {
	if !d.entries[v.Topic].store(v, steps) {
		return
	}
	d.output.values = append(d.output.values, v)
	d.announcer.add(now, v.Topic, publishedHere)
}

// applyUpdate stores a version that another member has sent, unless the local version is at least as new. It returns
// false if the value could not be reconstructed.
func (d *disseminator) applyUpdate(now time.Duration, u *update) bool {
	e := &d.entries[u.value.Topic]
	if !e.lacks(u.value.Version) {
		return true
	}
	value, steps, ok := e.reconstruct(u)
	if ok {
		d.store(now, value, steps, false)
	}
	return ok
}

func (d *disseminator) certify(topic Topic, version Version, asOf time.Duration) {
	d.entries[topic].certify(version, asOf)
}

// certifyAge records a proof by its age at the time when the answer to a request was sent. The age is counted from the
// time of the request, so that it may be overstated but is never understated.
func (d *disseminator) certifyAge(topic Topic, version Version, requestedAt, age time.Duration) {
	if age != UnknownAge {
		d.certify(topic, version, requestedAt-age)
	}
}

// summaries returns the digest of this process.
func (d *disseminator) summaries(now time.Duration) []summary {
	summaries := make([]summary, 0, topicCount)
	for i := range d.entries {
		e := &d.entries[i]
		if e.present {
			summaries = append(summaries, summary{topic: Topic(i), version: e.value.Version, age: e.age(now)})
		}
	}
	return summaries
}

// receiveAnnouncement handles the announcement of a member.
func (d *disseminator) receiveAnnouncement(now time.Duration, from netip.AddrPort, summaries []summary) {
	d.recordVersions(now, from, summaries)
	d.Advance(now)
}

// recordVersions records the versions that a member has, and schedules fetches of those that are newer than the local
// ones.
func (d *disseminator) recordVersions(now time.Duration, from netip.AddrPort, summaries []summary) {
	due := now
	if sender, known := d.members().Get(from); known && sender.Zone != d.self.Zone {
		due += otherZoneDelay
	}
	for _, s := range summaries {
		d.entries[s.topic].recordVersion(s.version, from, due)
	}
}
