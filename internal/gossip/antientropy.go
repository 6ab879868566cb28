package gossip

import (
	"net/netip"
	"time"

	"nickelline/internal/member"
)

const (
	// exchangesPerRound is the number of exchanges in a round: one with any member, the others with a control process.
	exchangesPerRound = 4
	// initialRetryDelay is the delay of the next exchange after an unsuccessful one: one that failed or left this process
	// stale. The delay doubles with each further unsuccessful exchange, up to the heartbeat.
	initialRetryDelay = 100 * time.Millisecond
	// maxDigestBytes bounds the total size of the updates in the answer to a digest. Updates that do not fit are fetched.
	maxDigestBytes = 64 << 10
)

// antiEntropy schedules an exchange of digests with a partner in each heartbeat.
type antiEntropy struct {
	nextExchange  time.Duration
	inFlight      bool
	retryDelay    time.Duration // until the next exchange, after an unsuccessful one
	lastFailed    bool          // the last exchange was unsuccessful
	exchangeCount int
	partner       netip.AddrPort // of the last exchange
}

func (a *antiEntropy) due() time.Duration {
	if a.inFlight {
		return never
	}
	return a.nextExchange
}

// exchangeSoon makes the next exchange due within initialRetryDelay.
func (a *antiEntropy) exchangeSoon(now time.Duration) {
	a.nextExchange = min(a.nextExchange, now+initialRetryDelay)
}

// interval returns the time until the next exchange. The exchange with any member lies halfway between two exchanges
// with a control process, so that exchanges with control processes are never more than a heartbeat apart.
func (a *antiEntropy) interval(heartbeat time.Duration) time.Duration {
	position := a.exchangeCount % exchangesPerRound
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
		d.antiEntropy.nextExchange = now + initialRetryDelay
		return
	}
	d.antiEntropy.inFlight = true
	d.antiEntropy.partner = partner
	d.antiEntropy.exchangeCount++
	d.output.digest = &digestCall{to: partner, summaries: d.summaries(now)}
}

// choosePartner returns the partner of the next exchange, and whether there is one. In one exchange of each round this is
// any member, in the others a control process, preferably of the same zone. After an unsuccessful exchange it is a
// different control process than before. If there is no control process to choose, it is any member.
func (d *disseminator) choosePartner() (netip.AddrPort, bool) {
	table := d.members()
	controls := table.ByRole(ControlRole)
	withAnyMember := d.antiEntropy.exchangeCount%exchangesPerRound == exchangesPerRound-1
	switch {
	case d.antiEntropy.lastFailed:
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
	return d.pickOne(table.Running(), anyMember)
}

func (d *disseminator) isNotLastPartner(m *member.Member) bool {
	return m.Address != d.antiEntropy.partner
}

// answerDigest returns the answer to the digest of a member, and schedules fetches of the newer versions in the digest.
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
	d.recordVersions(now, from, theirs)
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

// digestAnswered handles the answer to the periodic digest that was sent at sentAt.
func (d *disseminator) digestAnswered(now, sentAt time.Duration, from netip.AddrPort, answer *digestAnswer) {
	d.applyDigestAnswer(now, sentAt, from, answer)
	d.exchangeEnded(now)
	d.Advance(now)
}

// digestFailed is called when the exchange of the periodic digest failed or timed out.
func (d *disseminator) digestFailed(now time.Duration) {
	d.exchangeFailed(now)
	d.Advance(now)
}

// extraDigestAnswered handles the answer to a digest that was sent at sentAt in addition to the periodic ones.
func (d *disseminator) extraDigestAnswered(now, sentAt time.Duration, from netip.AddrPort, answer *digestAnswer) {
	d.applyDigestAnswer(now, sentAt, from, answer)
	d.Advance(now)
}

// applyDigestAnswer stores the updates and proofs of an answer, and schedules fetches of the newer versions in it.
func (d *disseminator) applyDigestAnswer(now, sentAt time.Duration, from netip.AddrPort, answer *digestAnswer) {
	for i := range answer.updates {
		d.applyUpdate(now, &answer.updates[i])
	}
	for _, s := range answer.summaries {
		d.certifyAge(s.topic, s.version, sentAt, s.age)
	}
	d.recordVersions(now, from, answer.summaries)
}

// exchangeEnded schedules the next exchange: after the regular interval, or sooner and with another partner if this
// process is still stale.
func (d *disseminator) exchangeEnded(now time.Duration) {
	if d.isStale(now) {
		d.exchangeFailed(now)
		return
	}
	exchanges := &d.antiEntropy
	exchanges.inFlight = false
	exchanges.lastFailed = false
	exchanges.retryDelay = initialRetryDelay
	exchanges.nextExchange = now + jitter(d.random, exchanges.interval(d.heartbeat))
}

// exchangeFailed schedules the next exchange after an unsuccessful one.
func (d *disseminator) exchangeFailed(now time.Duration) {
	exchanges := &d.antiEntropy
	exchanges.inFlight = false
	exchanges.lastFailed = true
	exchanges.nextExchange = now + jitter(d.random, min(exchanges.retryDelay, d.heartbeat))
	exchanges.retryDelay = min(2*exchanges.retryDelay, d.heartbeat)
}

// isStale reports whether there is no configuration, or a topic has no recent proof. The list of backends is exempt: its
// proof is renewed at longer intervals, and members read the list themselves if the proof is too old.
func (d *disseminator) isStale(now time.Duration) bool {
	for i := range d.entries {
		e := &d.entries[i]
		if e.present && Topic(i) != Backends && e.age(now) > d.heartbeat*3/2 {
			return true
		}
	}
	return !d.entries[Configuration].present
}
