package chain

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"nickelline/internal/simnet"
	"nickelline/internal/view"
)

// Timing and sizes of one history.
const (
	faultTime              = 15 * time.Second       // during which faults are injected
	convergenceTime        = 30 * time.Second       // after the last fault, within which the chain has to converge
	operationTimeout       = 3 * time.Second        // until a client gives up
	detectionTime          = 500 * time.Millisecond // until a site that cannot be reached counts as unreachable
	maximumSteps           = 400_000                // steps of the network in one call of runUntil
	defaultOperationGroups = 60                     // groups of client operations
	maximumInFlight        = 5                      // operations in flight at which clients begin no further write
)

// simulation is one history: sites with their replicas, clients and faults, all drawn from one seed.
type simulation struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	network *simnet.Network
	sites   []*site
	seeds   []netip.AddrPort
	policy  view.Policy
	limits  limits

	snapshotBytes int

	duration        time.Duration // until all faults end
	operationGroups int           // groups of client operations, each begun at a random time

	// planFaults schedules the faults; nil means planRandomFaults. afterStep, if set, is called after each event.
	planFaults func()
	afterStep  func()

	authority bool // views are decided by an authority outside of the chain
	careful   bool // the authority, like the placement, drops no copy that may be needed
	// reportsLostDisks means that the authority knows which members have lost their disks.
	reportsLostDisks bool
	cutOff           *site // the site that the authority cannot reach, nil if there is none
	// duplication is the probability that a message between replicas is delivered a second time, out of order, and to another
	// process if one has been started at the address meanwhile.
	duplication float64
	decided     view.View // newest view that the authority decided

	views     map[uint64]view.View      // views that came into force anywhere, by epoch
	newest    view.View                 // newest view that came into force anywhere
	committed map[uint64]committedEntry // by sequence
	sequences map[uint64]uint64         // by command
	highest   uint64                    // highest committed sequence

	lastID     uint64
	operations []*operation
	refused    map[uint64]bool // commands that were certainly not appended
	healed     bool            // all faults have ended
	healedAt   time.Duration
	losses     lossBudget
	log        []string
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		t:         t,
		seed:      seed,
		random:    random,
		views:     make(map[uint64]view.View),
		committed: make(map[uint64]committedEntry),
		sequences: make(map[uint64]uint64),
		refused:   make(map[uint64]bool),

		duration:        faultTime,
		operationGroups: defaultOperationGroups,

		network: simnet.New(seed, simnet.Conditions{
			MinimumDelay: 300 * time.Microsecond,
			MaximumDelay: time.Duration(1+random.IntN(8)) * time.Millisecond,
			Loss:         []float64{0, 0, 0.01, 0.05}[random.IntN(4)],
			Reordering:   []float64{0, 0, 0.02}[random.IntN(3)],
		}),
	}
	s.limits = limits{window: 300, batch: 100, snapshotChunk: 64, uncommitted: 1000, waiting: 100_000, retained: 40, retainedForLagging: 300}
	s.snapshotBytes = []int{120, 400, 1 << 20}[random.IntN(3)]
	count := []int{3, 3, 4, 5, 6}[random.IntN(5)]
	s.policy = view.Policy{MinimumMembers: 2, MaximumMembers: 3, Voters: 3}
	if count >= 5 && random.IntN(2) == 0 {
		s.policy = view.Policy{MinimumMembers: 3, MaximumMembers: 5, Voters: 5}
	}
	for i := range count {
		s.sites = append(s.sites, newSite(s, i, addressOf(i)))
	}
	s.authority = random.IntN(3) == 0
	if s.authority {
		s.policy.Voters = 0
		s.careful = random.IntN(2) == 0
	}
	s.losses.unrepaired = s.toleratedLosses()
	for _, site := range s.sites[:s.policy.MaximumMembers] {
		s.seeds = append(s.seeds, site.address)
	}
	return s
}

// newAgreedSimulation returns a history in which the replicas agree on their views, without an authority.
func newAgreedSimulation(t *testing.T, seed uint64) *simulation {
	s := newSimulation(t, seed)
	s.authority, s.careful, s.policy.Voters = false, false, s.policy.MaximumMembers
	return s
}

// occurs reports whether an event of the given probability occurs. It draws no random number if the probability is 0.
func (s *simulation) occurs(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7660)
}

func (s *simulation) logf(format string, arguments ...any) {
	line := fmt.Sprintf("%9.4f ", s.network.Now().Seconds()) + fmt.Sprintf(format, arguments...)
	s.log = append(s.log, line)
}

func (s *simulation) fatalf(format string, arguments ...any) {
	s.t.Helper()
	tail := s.log[max(0, len(s.log)-150):]
	for _, line := range tail {
		s.t.Log(line)
	}
	s.t.Fatalf("seed %d: %s", s.seed, fmt.Sprintf(format, arguments...))
}

func (s *simulation) run() {
	for _, site := range s.sites {
		s.network.At(s.network.Now()+time.Duration(s.random.IntN(300))*time.Millisecond, func() { site.start(true) })
	}
	if s.authority {
		s.network.At(s.network.Now()+time.Second/2, s.decide)
	}
	s.planOperations()
	if s.planFaults == nil {
		s.planFaults = s.planRandomFaults
	}
	s.planFaults()
	end := s.network.Now() + s.duration
	s.runUntil(func() bool { return s.network.Now() >= end })
	s.heal()
	s.awaitConvergence()
	s.checkLinearizable()
}

func (s *simulation) runUntil(over func() bool) bool {
	for step := range maximumSteps {
		if over() {
			return true
		}
		if step%stepsPerCheck == 0 {
			s.updateRepaired()
		}
		if !s.network.Step() {
			return over()
		}
		if s.afterStep != nil {
			s.afterStep()
		}
	}
	s.fatalf("more than %d steps", maximumSteps)
	return false
}

// heal ends all faults.
func (s *simulation) heal() {
	s.logf("heal")
	s.healed = true
	s.healedAt = s.network.Now()
	s.network.Heal()
	s.network.Conditions.Loss = 0
	for _, site := range s.sites {
		s.network.Thaw(site.address)
		site.leaving = false
		site.diskDelay = time.Millisecond
		site.disk.FailOneIn(0)
		if !s.network.Up(site.address) {
			site.start(false)
		}
	}
}

// awaitConvergence runs until a new command is committed, and the newest view is full and all its members have applied
// all committed entries. It fails after convergenceTime.
func (s *simulation) awaitConvergence() {
	end := s.network.Now() + convergenceTime
	for at := s.network.Now(); at < end; at += operationTimeout {
		s.network.At(at, s.propose)
	}
	s.runUntil(func() bool { return s.network.Now() >= end || s.converged() })
	if !s.converged() {
		for _, site := range s.sites {
			s.logf("%v", site)
		}
		s.fatalf("the chain did not converge within %v", convergenceTime)
	}
}

func (s *simulation) converged() bool {
	written := slices.ContainsFunc(s.operations, func(o *operation) bool { return o.begin >= s.healedAt && o.done && !o.read })
	if !written || len(s.newest.Members) != min(len(s.sites), s.policy.MaximumMembers) {
		return false
	}
	for _, member := range s.newest.Members {
		site := s.siteOf(member)
		if site == nil || site.applied != s.highest || !site.replica.complete() || site.replica.View().Epoch != s.newest.Epoch {
			return false
		}
	}
	return true
}

func (s *simulation) siteOf(member view.Member) *site {
	for _, site := range s.sites {
		if site.address == member.Address && site.self.Replica == member.Replica {
			return site
		}
	}
	return nil
}

func (s *simulation) siteAt(address netip.AddrPort) *site {
	i := slices.IndexFunc(s.sites, func(site *site) bool { return site.address == address })
	return s.sites[i]
}
