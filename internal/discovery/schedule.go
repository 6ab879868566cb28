package discovery

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the schedule. Those whose names end in PerDrain are fractions of the drain timeout, within which a
// change of the listing has to be in force on all nodes. Other nodes are those that are not control nodes.
const (
	periodPerHeartbeat  = 0.7                     // the primary's polling period, as a fraction of the heartbeat interval
	periodPerDrain      = 0.25                    // limit on the polling period, unless the rate limit requires more
	rankStepPerDrain    = 0.1                     // additional age of the proof at which each further rank polls
	maxRankAgePerDrain  = 0.55                    // upper bound of that age, unless maxRankSteps gives a greater one
	fallbackAgePerDrain = 0.75                    // least age of the proof at which other nodes poll, before jitter
	fallbackJitter      = 0.15                    // greatest reduction of that age, as a fraction of the drain timeout
	pullMarginPerDrain  = 0.05                    // a control node pulls when the proof is older than expected by this
	pullLeadPerDrain    = 0.1                     // a node that is not a control node pulls this long before it polls
	pullGapPerDrain     = 0.05                    // least time between two pulls of a node
	steadyRateFraction  = 0.8                     // part of the platform's rate limit that steady polling uses
	burstSeconds        = 0.5                     // the primary's polls start with a burst of this many seconds' calls
	maxRankSteps        = 3                       // limit on the rank steps from nextExpectedAge at which a rank polls
	fallbackSteps       = 4                       // least rank steps from nextExpectedAge at which other nodes poll
	slowPollFactor      = 1.5                     // duration of a poll with some refused calls, relative to one without
	joinTime            = 600 * time.Millisecond  // time for a started control node to join the others and get its rank
	startStep           = 500 * time.Millisecond  // additional delay of each further rank while it has no list
	maxStartSteps       = 8                       // limit on the number of these delays
	assumedPages        = 10                      // number of pages of the listing until its first poll
	startWait           = 1500 * time.Millisecond // least wait of other nodes while they have no list
	minRetryDelay       = 120 * time.Millisecond  // before the poll after a failed one; doubles with each failure
	maxRetryDelay       = 1500 * time.Millisecond
)

// never is a wait without end.
const never = time.Duration(math.MaxInt64)

// unproven is the proof age of a list without a proof.
const unproven = time.Duration(math.MaxInt64)

// nodeRole holds the inputs of a node's schedule.
type nodeRole struct {
	// Control is set for control nodes, which poll in the order of their ranks. Other nodes poll only when no control
	// node seems to.
	Control bool
	Rank    int
	// Members is the number of live nodes of all roles.
	Members int
	// ProofAge is the age of the newest proof of the node's list, or unproven.
	ProofAge time.Duration
}

// isPrimary reports whether the node is the one that polls periodically.
func (role nodeRole) isPrimary() bool { return role.Control && role.Rank == 0 }

// schedule decides when a node polls and pulls. It reads no clock: callers pass the current time.
type schedule struct {
	heartbeat    time.Duration
	drainTimeout time.Duration
	ratePerS     float64
	random       *rand.Rand

	startedAt  time.Time
	lastPollAt time.Time
	pages      int
	failures   int
	retryAt    time.Time
	jitter     float64 // from 0 to 1, drawn again after each poll
	lastPullAt time.Time
}

func newSchedule(heartbeat, drainTimeout time.Duration, ratePerS float64, seed uint64, now time.Time) *schedule {
	s := &schedule{heartbeat: heartbeat, drainTimeout: drainTimeout, ratePerS: ratePerS, startedAt: now, pages: assumedPages}
	s.random = rand.New(rand.NewPCG(seed, seed))
	s.jitter = s.random.Float64()
	return s
}

// pollWait returns how long the node has to wait before it polls, unless a younger proof arrives; 0 means poll now.
func (s *schedule) pollWait(now time.Time, role nodeRole) time.Duration {
	due, retry := s.pollAge(role)-min(role.ProofAge, s.drainTimeout), s.retryAt
	if role.ProofAge == unproven {
		due = s.startDelay(role) - now.Sub(s.startedAt)
		retry = retry.Add(startStagger(role.Rank))
	}
	if !role.Control {
		due = max(due, s.minInterval(role.Members)-now.Sub(s.lastPollAt))
	}
	if s.failures > 0 {
		due = max(due, retry.Sub(now))
	}
	return max(0, due)
}

// pullWait returns how long the node has to wait before it pulls a younger proof; 0 means pull now. A pull is cheaper
// than a poll and does not delay the next poll: a pull that brings no younger proof leaves pollWait unchanged.
func (s *schedule) pullWait(now time.Time, role nodeRole) time.Duration {
	if role.isPrimary() {
		return never
	}
	due := s.pullAge(role) - min(role.ProofAge, s.drainTimeout)
	return max(0, due, s.lastPullAt.Add(fraction(s.drainTimeout, pullGapPerDrain)).Sub(now))
}

// pullAge returns the age of the proof at which the node pulls.
func (s *schedule) pullAge(role nodeRole) time.Duration {
	if !role.Control {
		return s.pollAge(role) - fraction(s.drainTimeout, pullLeadPerDrain)
	}
	return s.nextExpectedAge() + fraction(s.drainTimeout, pullMarginPerDrain)
}

// pullStarted records that a pull starts.
func (s *schedule) pullStarted(now time.Time) { s.lastPullAt = now }

// period returns the time between the starts of two polls of the primary. The platform's rate limit makes it longer for
// a long listing.
func (s *schedule) period() time.Duration {
	return max(min(fraction(s.heartbeat, periodPerHeartbeat), fraction(s.drainTimeout, periodPerDrain)), s.fairInterval(1))
}

// pollAge returns the age of the proof at which the node polls.
func (s *schedule) pollAge(role nodeRole) time.Duration {
	if !role.Control {
		latest := max(fraction(s.drainTimeout, fallbackAgePerDrain), s.nextExpectedAge()+fallbackSteps*fraction(s.drainTimeout, rankStepPerDrain))
		return latest - fraction(s.drainTimeout, fallbackJitter*s.jitter)
	}
	if role.Rank == 0 {
		return s.period()
	}
	step := fraction(s.drainTimeout, rankStepPerDrain)
	last := max(fraction(s.drainTimeout, maxRankAgePerDrain), s.nextExpectedAge()+maxRankSteps*step)
	return min(s.nextExpectedAge()+time.Duration(role.Rank)*step, last)
}

// nextExpectedAge returns the age of the proof at which the primary's next proof is expected: the period plus the
// duration of a poll, less one rank step, but no less than the period.
func (s *schedule) nextExpectedAge() time.Duration {
	return s.period() + max(0, fraction(s.fairInterval(1), slowPollFactor)-fraction(s.drainTimeout, rankStepPerDrain))
}

// startDelay returns how long a node waits after its start for the list from other nodes before it polls. Control nodes
// that start at the same time poll one after the other: together they would use up the rate limit, and none would get a
// complete listing.
func (s *schedule) startDelay(role nodeRole) time.Duration {
	switch {
	case !role.Control:
		return startWait + fraction(max(startWait, s.fairInterval(role.Members)), s.jitter)
	case role.Rank == 0 && role.Members <= 1:
		return joinTime
	}
	if role.Rank == 0 {
		return 0
	}
	return joinTime + startStagger(role.Rank)
}

// startStagger returns how much later than rank 0 a rank polls after its start.
func startStagger(rank int) time.Duration { return time.Duration(min(rank, maxStartSteps)) * startStep }

// minInterval returns the least time between two polls of a node that is not a control node, so that all nodes together
// stay below the rate limit. It is 0 before the first poll.
func (s *schedule) minInterval(members int) time.Duration {
	if s.lastPollAt.IsZero() {
		return 0
	}
	return s.fairInterval(members)
}

// fairInterval returns the time in which the given number of nodes can poll once each within the rate limit.
func (s *schedule) fairInterval(members int) time.Duration {
	if s.ratePerS <= 0 {
		return 0
	}
	return fraction(time.Second, float64(members*s.pages)/(steadyRateFraction*s.ratePerS))
}

// pollTimeout returns how long a poll may take. It is longer while no list is known, as a stale list is better than
// none.
func (s *schedule) pollTimeout(known bool) time.Duration {
	longest := firstPollTimeout
	if known {
		longest = defaultPollTimeout
	}
	return max(longest, 2*s.fairInterval(1))
}

// setPages sets the number of pages of the listing, as recorded in a list that another node may have polled. It ignores
// 0.
func (s *schedule) setPages(pages int) {
	if pages > 0 {
		s.pages = pages
	}
}

// pollStarted records that a poll starts.
func (s *schedule) pollStarted(now time.Time) { s.lastPollAt = now }

// pollFinished records the result of a poll and the number of pages that arrived.
func (s *schedule) pollFinished(now time.Time, pages int, err error) {
	s.jitter = s.random.Float64()
	s.pages = max(s.pages, pages+1) // after a failed poll: at least one page is missing
	if err == nil {
		s.pages, s.failures = max(1, pages), 0
		s.retryAt = time.Time{}
		return
	}
	wait := min(minRetryDelay<<min(s.failures, 8), maxRetryDelay)
	s.failures++
	s.retryAt = now.Add(fraction(wait, 0.75+0.5*s.jitter))
}

// fraction returns the given fraction of a duration.
func fraction(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }
