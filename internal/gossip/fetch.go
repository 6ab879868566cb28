package gossip

import (
	"net/netip"
	"time"
)

// otherZoneDelay is the delay of a fetch from another zone. A member of the same zone may offer the value in the
// meantime.
const otherZoneDelay = 100 * time.Millisecond

// pendingFetch is a version newer than the local one that another member has reported.
type pendingFetch struct {
	valid   bool
	version Version
	from    netip.AddrPort
	// alternative is another member that has the version, if valid.
	alternative netip.AddrPort
	due         time.Duration // when the fetch begins
	// inFlight is set while a fetch is in flight, which may be of an older version than this one.
	inFlight bool
	// whole is set if the received steps did not lead to the version.
	whole bool
}

// recordVersion records that a member has a version. If the version is newer than the local one, it schedules a fetch
// at the given time.
func (e *entry) recordVersion(version Version, from netip.AddrPort, due time.Duration) {
	if !e.lacks(version) {
		return
	}
	pending := &e.fetch
	switch {
	case !pending.valid || version.newerThan(pending.version):
		*pending = pendingFetch{valid: true, version: version, from: from, due: due, inFlight: pending.inFlight}
	case version == pending.version && from != pending.from && due < pending.due:
		pending.alternative = pending.from
		pending.from = from
		pending.due = due
	case version == pending.version && from != pending.from:
		pending.alternative = from
	}
}

// fetchDue returns when the next fetch has to begin, never if none is pending or one is in flight.
func (e *entry) fetchDue() time.Duration {
	if !e.fetch.valid || e.fetch.inFlight {
		return never
	}
	return e.fetch.due
}

// fetchWhole schedules another fetch of the pending version, as the whole value, after steps that did not lead to it.
func (e *entry) fetchWhole(now time.Duration) {
	e.fetch.inFlight = false
	e.fetch.whole = true
	e.fetch.due = now
}

// fetchBase returns the version from which the answer to a fetch may contain steps, nil if it must contain the whole
// value.
func (e *entry) fetchBase() *Version {
	if !e.present || e.fetch.whole {
		return nil
	}
	base := e.value.Version
	return &base
}

// fetchEnded is called after a fetch. If the pending version has not arrived, it is fetched from the alternative, if
// there is one.
func (e *entry) fetchEnded(now time.Duration) {
	pending := &e.fetch
	pending.inFlight = false
	if !pending.valid {
		return
	}
	pending.valid = pending.alternative.IsValid()
	pending.from = pending.alternative
	pending.alternative = netip.AddrPort{}
	pending.due = now
}

// advanceFetches begins the fetches that are due.
func (d *disseminator) advanceFetches(now time.Duration) {
	for i := range d.entries {
		e := &d.entries[i]
		if now < e.fetchDue() {
			continue
		}
		e.fetch.inFlight = true
		request := fetchRequest{topic: Topic(i), base: e.fetchBase()}
		d.output.fetches = append(d.output.fetches, fetchCall{to: e.fetch.from, request: request})
	}
}

// answerFetch returns the answer to a member that requests a value, and whether this process has any version of it.
func (d *disseminator) answerFetch(now time.Duration, request fetchRequest) (fetchAnswer, bool) {
	e := &d.entries[request.topic]
	return fetchAnswer{update: e.updateFrom(request.base), age: e.age(now)}, e.present
}

// fetchAnswered applies the answer to a fetch that was requested at the given time.
func (d *disseminator) fetchAnswered(now, requestedAt time.Duration, answer *fetchAnswer) {
	received := answer.update.value
	d.certifyAge(received.Topic, received.Version, requestedAt, answer.age)
	e := &d.entries[received.Topic]
	if !d.applyUpdate(now, &answer.update) && e.lacks(received.Version) {
		e.fetchWhole(now)
		d.Advance(now)
		return
	}
	d.fetchEnded(now, received.Topic)
}

// fetchFailed is called when a fetch failed or timed out.
func (d *disseminator) fetchFailed(now time.Duration, topic Topic) { d.fetchEnded(now, topic) }

func (d *disseminator) fetchEnded(now time.Duration, topic Topic) {
	e := &d.entries[topic]
	e.fetchEnded(now)
	unproven := e.present && !e.proof.known
	if unproven {
		d.antiEntropy.exchangeSoon(now)
	}
	d.Advance(now)
}
