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

	entries     [topics]entry
	announcer   announcer
	antiEntropy antiEntropy

	output output
}

// output is what the driver has to do.
type output struct {
	announcements []announcement
	digest        *digestCall // nil for none
	fetches       []fetchCall
	values        []Value // for the subscribers
}

func newDisseminator(self member.Member, members func() *member.Table, heartbeat time.Duration, random *rand.Rand, now time.Duration) *disseminator {
	return &disseminator{
		random:      random,
		self:        self,
		members:     members,
		heartbeat:   heartbeat,
		announcer:   announcer{due: never},
		antiEntropy: antiEntropy{nextExchange: now, retry: exchangeRetry},
	}
}

// Next returns when Advance has to be called, if no event comes before.
func (d *disseminator) Next() time.Duration {
	due := min(d.announcer.due, d.antiEntropy.due())
	for i := range d.entries {
		due = min(due, d.entries[i].fetchDue())
	}
	return due
}

// Advance does what is due.
func (d *disseminator) Advance(now time.Duration) {
	if now >= d.announcer.due {
		d.announce()
	}
	d.advanceAntiEntropy(now)
	d.advanceFetches(now)
}

// Take returns what is to be done since the last call. Before the start that is only to call the subscribers, and the rest is
// held back.
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

// publish stores a version of this process, with the steps to it from the one before it.
func (d *disseminator) publish(now time.Duration, v Value, steps []step) {
	d.store(now, v, steps, true)
	d.Advance(now)
}

// store stores a value if it is newer than the present one, and passes it on.
func (d *disseminator) store(now time.Duration, v Value, steps []step, publishedHere bool) {
	if !d.entries[v.Topic].store(v, steps) {
		return
	}
	d.output.values = append(d.output.values, v)
	d.announcer.add(now, v.Topic, publishedHere)
}

// applyUpdate stores a version that another member has sent. It reports whether the value could be read.
func (d *disseminator) applyUpdate(now time.Duration, u *update) bool {
	e := &d.entries[u.value.Topic]
	if !e.lacks(u.value.Version) {
		return true
	}
	value, steps, readable := e.read(u)
	if readable {
		d.store(now, value, steps, false)
	}
	return readable
}

func (d *disseminator) certify(topic Topic, version Version, asOf time.Duration) {
	d.entries[topic].certify(version, asOf)
}

// certifyAge notes a proof by its age when the answer to a request was sent. Counted from when it was requested, the proof is
// held to be older than it is, never younger.
func (d *disseminator) certifyAge(topic Topic, version Version, requestedAt, age time.Duration) {
	if age != UnknownAge {
		d.certify(topic, version, requestedAt-age)
	}
}

// summaries returns the own digest.
func (d *disseminator) summaries(now time.Duration) []summary {
	summaries := make([]summary, 0, topics)
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
	d.noteVersions(now, from, summaries)
	d.Advance(now)
}

// noteVersions notes the versions that a member has, to fetch those that are newer than the present ones.
func (d *disseminator) noteVersions(now time.Duration, from netip.AddrPort, summaries []summary) {
	at := now
	if sender, known := d.members().Get(from); known && sender.Zone != d.self.Zone {
		at += otherZoneDelay
	}
	for _, s := range summaries {
		d.entries[s.topic].noteVersion(s.version, from, at)
	}
}
