package discovery

import (
	"math"
	"math/rand/v2"
	"time"
)

// Times of the schedule. Those named PerDrain are fractions of the drain time-out, within which a change of the listing
// has to be in force on all nodes.
const (
	periodPerHeartbeat  = 0.7                     // the primary's period: this fraction of the heartbeat,
	periodPerDrain      = 0.25                    // at most
	rankStepPerDrain    = 0.1                     // by how much each further rank polls later,
	maxRankAgePerDrain  = 0.55                    // at most
	fallbackAgePerDrain = 0.75                    // age of the proof at which other nodes poll,
	fallbackJitter      = 0.15                    // or sooner, by up to this fraction
	pullMarginPerDrain  = 0.05                    // beyond the expected age of the proof: when another rank pulls
	pullLeadPerDrain    = 0.1                     // before its poll: when a node that is no control node pulls
	pullGapPerDrain     = 0.05                    // between two pulls of a node
	steadyRateFraction  = 0.8                     // of the platform's rate, used by steady polling
	burstSeconds        = 0.5                     // calls of so many seconds are made without a gap at the start of a poll
	maxRankSteps        = 3                       // by which a rank polls later, at most
	fallbackSteps       = 4                       // by which nodes that are no control nodes poll later
	slowPollFactor      = 1.5                     // duration of a poll with some refused calls, per duration without
	joinTime            = 600 * time.Millisecond  // for a started control node to join the others, so that it has a rank
	startStep           = 500 * time.Millisecond  // by how much each further rank polls later, while it has no list
	maxStartSteps       = 8                       // for so many ranks at most
	assumedPages        = 10                      // length of a listing before it was polled
	startWait           = 1500 * time.Millisecond // before other nodes poll, while they have no list
	minRetryDelay       = 120 * time.Millisecond  // before the poll after a failed one; doubles
	maxRetryDelay       = 1500 * time.Millisecond
)

// never is a wait that does not end.
const never = time.Duration(math.MaxInt64)

// unproven is the age of a proof that does not exist.
const unproven = time.Duration(math.MaxInt64)

// nodeRole is what a node's schedule depends on.
type nodeRole struct {
	// Control nodes poll by their rank, others only when no one else seems to.
	Control bool
	Rank    int
	// Members is the number of live nodes of all roles.
	Members int
	// ProofAge is the age of the newest proof of the node's list, or unproven.
	ProofAge time.Duration
}

// isPrimary reports whether the node is the one that polls all the time.
func (role nodeRole) isPrimary() bool { return role.Control && role.Rank == 0 }

// schedule decides when a node polls and pulls. It reads no clock.
type schedule struct {
	heartbeat time.Duration
	drain     time.Duration
	ratePerS  float64
	random    *rand.Rand

	started    time.Time
	lastPollAt time.Time
	pages      int
	failures   int
	retryAt    time.Time
	jitter     float64 // of 0 to 1, drawn anew for each poll
	lastPullAt time.Time
}

func newSchedule(heartbeat, drain time.Duration, ratePerS float64, seed uint64, now time.Time) *schedule {
	s := &schedule{heartbeat: heartbeat, drain: drain, ratePerS: ratePerS, started: now, pages: assumedPages}
	s.random = rand.New(rand.NewPCG(seed, seed))
	s.jitter = s.random.Float64()
	return s
}

// pollWait returns how long the node waits before it polls, unless a younger proof arrives; 0: it polls now.
func (s *schedule) pollWait(now time.Time, role nodeRole) time.Duration {
	due, retry := s.pollAge(role)-min(role.ProofAge, s.drain), s.retryAt
	if role.ProofAge == unproven {
		due = s.startDelay(role) - now.Sub(s.started)
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

// pullWait returns how long the node waits before it pulls a younger proof, 0: it pulls now. A pull costs less than a
// poll and does not put it off: one that brings nothing leaves pollWait as it is.
func (s *schedule) pullWait(now time.Time, role nodeRole) time.Duration {
	if role.isPrimary() {
		return never
	}
	due := s.pullAge(role) - min(role.ProofAge, s.drain)
	return max(0, due, s.lastPullAt.Add(fraction(s.drain, pullGapPerDrain)).Sub(now))
}

// pullAge returns the age of the proof at which the node pulls.
func (s *schedule) pullAge(role nodeRole) time.Duration {
	if !role.Control {
		return s.pollAge(role) - fraction(s.drain, pullLeadPerDrain)
	}
	return s.nextExpectedAge() + fraction(s.drain, pullMarginPerDrain)
}

// pullStarted records that a pull starts.
func (s *schedule) pullStarted(now time.Time) { s.lastPullAt = now }

// period returns the time between two polls of the primary. It is longer for a long listing, as the platform's rate
// requires.
func (s *schedule) period() time.Duration {
	return max(min(fraction(s.heartbeat, periodPerHeartbeat), fraction(s.drain, periodPerDrain)), s.fairInterval(1))
}

// pollAge returns the age of the proof at which the node polls.
func (s *schedule) pollAge(role nodeRole) time.Duration {
	if !role.Control {
		early := max(fraction(s.drain, fallbackAgePerDrain), s.nextExpectedAge()+fallbackSteps*fraction(s.drain, rankStepPerDrain))
		return early - fraction(s.drain, fallbackJitter*s.jitter)
	}
	if role.Rank == 0 {
		return s.period()
	}
	step := fraction(s.drain, rankStepPerDrain)
	last := max(fraction(s.drain, maxRankAgePerDrain), s.nextExpectedAge()+maxRankSteps*step)
	return min(s.nextExpectedAge()+time.Duration(role.Rank)*step, last)
}

// nextExpectedAge returns the age of the proof at which the next one of the primary is expected, less one step of
// ranks. It allows for the duration of a poll of a long listing.
func (s *schedule) nextExpectedAge() time.Duration {
	return s.period() + max(0, fraction(s.fairInterval(1), slowPollFactor)-fraction(s.drain, rankStepPerDrain))
}

// startDelay returns how long a started node waits for the list from others before it polls. Control nodes that start
// at the same time poll one after the other: together they would use up the rate, and none would get a whole listing.
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

// startStagger returns by how much a rank polls later than rank 0 after its start.
func startStagger(rank int) time.Duration { return time.Duration(min(rank, maxStartSteps)) * startStep }

// minInterval returns the least time between two polls of a node that is no control node, with which all nodes together
// stay below the rate.
func (s *schedule) minInterval(members int) time.Duration {
	if s.lastPollAt.IsZero() {
		return 0
	}
	return s.fairInterval(members)
}

// fairInterval returns the time in which so many nodes can poll once each.
func (s *schedule) fairInterval(members int) time.Duration {
	if s.ratePerS <= 0 {
		return 0
	}
	return fraction(time.Second, float64(members*s.pages)/(steadyRateFraction*s.ratePerS))
}

// maxPollTime returns how long a poll may take. While no list is known, an old one is better than none.
func (s *schedule) maxPollTime(known bool) time.Duration {
	longest := firstPollTime
	if known {
		longest = defaultPollTime
	}
	return max(longest, 2*s.fairInterval(1))
}

// setPages sets the number of pages of the listing, from a list that another node has polled.
func (s *schedule) setPages(pages int) {
	if pages > 0 {
		s.pages = pages
	}
}

// pollStarted records that a poll starts.
func (s *schedule) pollStarted(now time.Time) { s.lastPollAt = now }

// pollFinished records the result of a poll and how many pages arrived.
func (s *schedule) pollFinished(now time.Time, pages int, err error) {
	s.jitter = s.random.Float64()
	s.pages = max(s.pages, pages+1) // unless the poll was complete
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
