package gossip

import (
	"net/netip"
	"time"
)

// otherZoneDelay is the time before a value is fetched from a member of another zone: it may come from the own one.
const otherZoneDelay = 100 * time.Millisecond

// pendingFetch is a version above the present one that another member has announced.
type pendingFetch struct {
	valid   bool
	version Version
	from    netip.AddrPort
	// alternative has the version as well, if valid.
	alternative netip.AddrPort
	at          time.Duration // when it is fetched
	// underWay is set while a fetch is under way, which may be of a version before this one.
	underWay bool
	// whole is set if differences did not lead to the version.
	whole bool
}

// noteVersion notes that a member has a version. If it is above the present one, it is to be fetched at the given time.
func (e *entry) noteVersion(version Version, from netip.AddrPort, at time.Duration) {
	if !e.lacks(version) {
		return
	}
	pending := &e.fetch
	switch {
	case !pending.valid || version.newerThan(pending.version):
		*pending = pendingFetch{valid: true, version: version, from: from, at: at, underWay: pending.underWay}
	case version == pending.version && from != pending.from && at < pending.at:
		pending.alternative = pending.from
		pending.from = from
		pending.at = at
	case version == pending.version && from != pending.from:
		pending.alternative = from
	}
}

// fetchDue returns when a fetch has to begin.
func (e *entry) fetchDue() time.Duration {
	if !e.fetch.valid || e.fetch.underWay {
		return never
	}
	return e.fetch.at
}

// fetchWhole has the pending version fetched once more, whole: the differences did not lead to it.
func (e *entry) fetchWhole(now time.Duration) {
	e.fetch.underWay = false
	e.fetch.whole = true
	e.fetch.at = now
}

// fetchBase returns the version from which a fetch may bring differences, nil if it has to bring the whole value.
func (e *entry) fetchBase() *Version {
	if !e.present || e.fetch.whole {
		return nil
	}
	base := e.value.Version
	return &base
}

// fetchEnded is called after a fetch. If the pending version has not come, it is fetched from the alternative.
func (e *entry) fetchEnded(now time.Duration) {
	pending := &e.fetch
	pending.underWay = false
	if !pending.valid {
		return
	}
	pending.valid = pending.alternative.IsValid()
	pending.from = pending.alternative
	pending.alternative = netip.AddrPort{}
	pending.at = now
}

// advanceFetches begins the fetches that are due.
func (d *disseminator) advanceFetches(now time.Duration) {
	for i := range d.entries {
		e := &d.entries[i]
		if now < e.fetchDue() {
			continue
		}
		e.fetch.underWay = true
		request := fetchRequest{topic: Topic(i), base: e.fetchBase()}
		d.output.fetches = append(d.output.fetches, fetchCall{to: e.fetch.from, request: request})
	}
}

// answerFetch returns the answer to a member that requests a value, and whether there is any.
func (d *disseminator) answerFetch(now time.Duration, request fetchRequest) (fetchAnswer, bool) {
	e := &d.entries[request.topic]
	return fetchAnswer{update: e.updateFrom(request.base), age: e.age(now)}, e.present
}

// fetched applies the answer to a fetch that was requested at the given time.
func (d *disseminator) fetched(now, requestedAt time.Duration, answer *fetchAnswer) {
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

// fetchFailed is called when a fetch got no answer.
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
