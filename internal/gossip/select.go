package gossip

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"nickelline/internal/member"
)

func anyMember(*member.Member) bool { return true }

func (d *disseminator) inOwnZone(m *member.Member) bool { return m.Zone == d.self.Zone }

// pickOne returns the address of a random suitable member other than this process, and whether there is one.
func (d *disseminator) pickOne(members []member.Member, suitable func(*member.Member) bool) (netip.AddrPort, bool) {
	picked := d.pick(members, 1, suitable)
	if len(picked) == 0 {
		return netip.AddrPort{}, false
	}
	return picked[0], true
}

// pick returns the addresses of up to count random suitable members other than this process, by reservoir sampling.
func (d *disseminator) pick(members []member.Member, count int, suitable func(*member.Member) bool) []netip.AddrPort {
	var picked []netip.AddrPort
	seen := 0
	for i := range members {
		m := &members[i]
		if m.Address == d.self.Address || !suitable(m) {
			continue
		}
		seen++
		if len(picked) < count {
			picked = append(picked, m.Address)
			continue
		}
		if at := d.random.IntN(seen); at < count {
			picked[at] = m.Address
		}
	}
	return picked
}

// jitter shortens a period by up to a tenth, so that members do not all act at the same time.
func jitter(random *rand.Rand, period time.Duration) time.Duration {
	const share = 10
	spread := max(int64(period)/share, 1)
	return period - time.Duration(random.Int64N(spread))
}
