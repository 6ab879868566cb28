package gossip

import (
	"net/netip"
	"time"

	"nickelline/internal/member"
)

const (
	// exchangesPerRound is the number of exchanges of which one is with any member, the others with a control process.
	exchangesPerRound = 4
	// exchangeRetry is the time to the next exchange after one that did not help. It is doubled up to the heartbeat.
	exchangeRetry = 100 * time.Millisecond
	// maxDigestBytes bounds the updates in the answer to a digest. Longer ones are fetched.
	maxDigestBytes = 64 << 10
)

// antiEntropy exchanges a digest with a partner in each heartbeat.
type antiEntropy struct {
	nextExchange time.Duration
	underWay     bool
	retry        time.Duration // until the next exchange, after one that did not help
	failing      bool          // the last exchange did not help
	count        int
	partner      netip.AddrPort // of the last exchange
}

func (a *antiEntropy) due() time.Duration {
	if a.underWay {
		return never
	}
	return a.nextExchange
}

// exchangeSoon has the next exchange take place soon.
func (a *antiEntropy) exchangeSoon(now time.Duration) {
	a.nextExchange = min(a.nextExchange, now+exchangeRetry)
}

// interval returns the time until the next exchange. The one with any member lies in the middle between two with a control
// process, so that these are never more than a heartbeat apart.
func (a *antiEntropy) interval(heartbeat time.Duration) time.Duration {
	position := a.count % exchangesPerRound
	if position == 0 || position == exchangesPerRound-1 {
		return heartbeat / 2
	}
	return heartbeat
}

func (d *disseminator) advanceAntiEntropy(now time.Duration) {
	if now < d.antiEntropy.due() {
		return
	}
	partner, found := d.choosePartner()
	if !found {
		d.antiEntropy.nextExchange = now + exchangeRetry
		return
	}
	d.antiEntropy.underWay = true
	d.antiEntropy.partner = partner
	d.antiEntropy.count++
	d.output.digest = &digestCall{to: partner, summaries: d.summaries(now)}
}

// choosePartner returns a control process of the own zone, in one exchange of each round any member, and after an exchange
// that did not help another control process.
func (d *disseminator) choosePartner() (netip.AddrPort, bool) {
	table := d.members()
	controls := table.ByRole(ControlRole)
	withAnyMember := d.antiEntropy.count%exchangesPerRound == exchangesPerRound-1
	switch {
	case d.antiEntropy.failing:
		if partner, found := d.pickOne(controls, d.isNotLastPartner); found {
			return partner, true
		}
	case !withAnyMember:
		if partner, found := d.pickOne(controls, d.inOwnZone); found {
			return partner, true
		}
		if partner, found := d.pickOne(controls, anyMember); found {
			return partner, true
		}
	}
	return d.pickOne(table.Alive(), anyMember)
}

func (d *disseminator) isNotLastPartner(m *member.Member) bool {
	return m.Address != d.antiEntropy.partner
}

// answerDigest returns the answer to the digest of a member.
func (d *disseminator) answerDigest(now time.Duration, from netip.AddrPort, theirs []summary) digestAnswer {
	answer := digestAnswer{summaries: d.summaries(now)}
	budget := maxDigestBytes
	for _, own := range answer.summaries {
		base := versionOf(theirs, own.topic)
		if base != nil && !own.version.newerThan(*base) {
			continue
		}
		u := d.entries[own.topic].updateFrom(base)
		if u.bytes() <= budget {
			budget -= u.bytes()
			answer.updates = append(answer.updates, u)
		}
	}
	d.noteVersions(now, from, theirs)
	d.Advance(now)
	return answer
}

// versionOf returns the version that a member has of a topic, nil if it has none.
func versionOf(summaries []summary, topic Topic) *Version {
	for i := range summaries {
		if summaries[i].topic == topic {
			return &summaries[i].version
		}
	}
	return nil
}

// digestAnswered handles the answer to the digest of this heartbeat, which was sent at the given time.
func (d *disseminator) digestAnswered(now, sentAt time.Duration, from netip.AddrPort, answer *digestAnswer) {
	d.applyDigestAnswer(now, sentAt, from, answer)
	d.exchangeEnded(now)
	d.Advance(now)
}

// digestFailed is called when the digest of this heartbeat got no answer.
func (d *disseminator) digestFailed(now time.Duration) {
	d.exchangeFailed(now)
	d.Advance(now)
}

// extraDigestAnswered handles the answer to a digest that was sent at the given time besides those of each heartbeat.
func (d *disseminator) extraDigestAnswered(now, sentAt time.Duration, from netip.AddrPort, answer *digestAnswer) {
	d.applyDigestAnswer(now, sentAt, from, answer)
	d.Advance(now)
}

// applyDigestAnswer stores the updates and proofs of an answer.
func (d *disseminator) applyDigestAnswer(now, sentAt time.Duration, from netip.AddrPort, answer *digestAnswer) {
	for i := range answer.updates {
		d.applyUpdate(now, &answer.updates[i])
	}
	for _, s := range answer.summaries {
		d.certifyAge(s.topic, s.version, sentAt, s.age)
	}
	d.noteVersions(now, from, answer.summaries)
}

// exchangeEnded schedules the next exchange: after a heartbeat, or soon with another partner if the present versions are
// still not proven to be current.
func (d *disseminator) exchangeEnded(now time.Duration) {
	if d.isStale(now) {
		d.exchangeFailed(now)
		return
	}
	exchanges := &d.antiEntropy
	exchanges.underWay = false
	exchanges.failing = false
	exchanges.retry = exchangeRetry
	exchanges.nextExchange = now + jitter(d.random, exchanges.interval(d.heartbeat))
}

// exchangeFailed schedules the next exchange after one that did not help.
func (d *disseminator) exchangeFailed(now time.Duration) {
	exchanges := &d.antiEntropy
	exchanges.underWay = false
	exchanges.failing = true
	exchanges.nextExchange = now + jitter(d.random, min(exchanges.retry, d.heartbeat))
	exchanges.retry = min(2*exchanges.retry, d.heartbeat)
}

// isStale reports whether there is no configuration, or a topic lacks a young proof. The list of backends does not count: it
// is proven at longer intervals, and members read it themselves where its proof is too old.
func (d *disseminator) isStale(now time.Duration) bool {
	for i := range d.entries {
		e := &d.entries[i]
		if e.present && Topic(i) != Backends && e.age(now) > d.heartbeat*3/2 {
			return true
		}
	}
	return !d.entries[Configuration].present
}
