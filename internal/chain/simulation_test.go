package chain

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"nickelline/internal/simnet"
	"nickelline/internal/view"
)

// Seeded histories: replicas of a chain on simulated disks and a simulated network, with everything that may happen to
// them. NICKELLINE_CHAIN_HISTORIES sets how many are run, and NICKELLINE_CHAIN_SEED the first seed.
const (
	historiesVariable = "NICKELLINE_CHAIN_HISTORIES"
	seedVariable      = "NICKELLINE_CHAIN_SEED"
	defaultHistories  = 600
	historyWorkers    = 4

	troubleTime     = 15 * time.Second
	settleTime      = 30 * time.Second
	operationTime   = 3 * time.Second // until a client gives up
	detectionTime   = 500 * time.Millisecond
	calmTime        = 3 * time.Second // after the loss of a disk
	maximumSteps    = 400_000
	operationsCount = 60
	maximumInFlight = 5
)

func environment(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

func TestSeededHistories(t *testing.T) { runHistories(t, newSimulation) }

// runHistories runs as many histories as are wanted, in several goroutines.
func runHistories(t *testing.T, begin func(t *testing.T, seed uint64) *simulation) {
	histories := environment(t, historiesVariable, defaultHistories)
	firstSeed := environment(t, seedVariable, 1)
	if testing.Short() {
		histories /= 10
	}
	for worker := range historyWorkers {
		t.Run(fmt.Sprintf("worker %d", worker), func(t *testing.T) {
			t.Parallel()
			var total summary
			for i := worker; i < histories && !t.Failed(); i += historyWorkers {
				s := begin(t, uint64(firstSeed+i))
				s.run()
				total.add(s)
			}
			t.Logf("%+v", total)
		})
	}
}

// summary counts what happened in histories, to see that they test something.
type summary struct{ histories, views, entries, disksLost, replaced, reads, writes, refused, unclear int }

func (t *summary) add(s *simulation) {
	t.histories++
	t.views += len(s.views)
	t.entries += len(s.committed)
	t.disksLost += s.losses.total
	t.replaced += s.losses.replaced
	for _, o := range s.operations {
		switch {
		case o.dropped:
			t.refused++
		case !o.done:
			t.unclear++
		case o.read:
			t.reads++
		default:
			t.writes++
		}
	}
}

// simulation is one history.
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

	duration        time.Duration // until all trouble ends
	operationGroups int           // moments at which clients do something

	// planTroubles draws what befalls the sites, planTrouble if it is nil. afterStep, if there is one, is called after each event.
	planTroubles func()
	afterStep    func()

	authority bool      // views are decided by an authority outside of the chain
	careful   bool      // the authority drops no copy that may be needed, as the placement does
	decided   view.View // by the authority

	views     map[uint64]view.View // that came into force anywhere, by epoch
	newest    view.View
	committed map[uint64]committedEntry // by sequence
	sequences map[uint64]uint64         // by command
	highest   uint64

	lastID     uint64
	operations []*operation
	refused    map[uint64]bool // commands that were certainly not appended
	healed     bool
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

		duration:        troubleTime,
		operationGroups: operationsCount,

		network: simnet.New(seed, simnet.Conditions{
			MinimumDelay: 300 * time.Microsecond,
			MaximumDelay: time.Duration(1+random.IntN(8)) * time.Millisecond,
			Loss:         []float64{0, 0, 0.01, 0.05}[random.IntN(4)],
			Reordering:   []float64{0, 0, 0.02}[random.IntN(3)],
		}),
	}
	s.limits = limits{window: 300, batch: 100, snapshotChunk: 64, uncommitted: 1000, waiting: 100_000, retained: 40, lagging: 300}
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
	s.losses.unrepaired = s.tolerated()
	for _, site := range s.sites[:s.policy.MaximumMembers] {
		s.seeds = append(s.seeds, site.address)
	}
	return s
}

// newAgreedSimulation makes a history in which the replicas agree on their views themselves.
func newAgreedSimulation(t *testing.T, seed uint64) *simulation {
	s := newSimulation(t, seed)
	s.authority, s.careful, s.policy.Voters = false, false, s.policy.MaximumMembers
	return s
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7660)
}

func (s *simulation) note(format string, arguments ...any) {
	line := fmt.Sprintf("%9.4f ", s.network.Now().Seconds()) + fmt.Sprintf(format, arguments...)
	s.log = append(s.log, line)
}

func (s *simulation) fail(format string, arguments ...any) {
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
	if s.planTroubles == nil {
		s.planTroubles = s.planTrouble
	}
	s.planTroubles()
	end := s.network.Now() + s.duration
	s.runUntil(func() bool { return s.network.Now() >= end })
	s.heal()
	s.settle()
	s.checkEnd()
}

func (s *simulation) runUntil(over func() bool) bool {
	for step := range maximumSteps {
		if over() {
			return true
		}
		if step%stepsPerCheck == 0 {
			s.noteRepair()
		}
		if !s.network.Step() {
			return over()
		}
		if s.afterStep != nil {
			s.afterStep()
		}
	}
	s.fail("more than %d steps", maximumSteps)
	return false
}

// heal ends all trouble.
func (s *simulation) heal() {
	s.note("heal")
	s.healed = true
	s.healedAt = s.network.Now()
	s.network.Heal()
	s.network.Conditions.Loss = 0
	for _, site := range s.sites {
		s.network.Thaw(site.address)
		site.leaving = false
		site.diskDelay = time.Millisecond
		if !s.network.Up(site.address) {
			site.start(false)
		}
	}
}

// settle waits until a command is committed, all replicas have applied the same, and the view is full.
func (s *simulation) settle() {
	end := s.network.Now() + settleTime
	for at := s.network.Now(); at < end; at += operationTime {
		s.network.At(at, s.propose)
	}
	s.runUntil(func() bool { return s.network.Now() >= end || s.settled() })
	if !s.settled() {
		for _, site := range s.sites {
			s.note("%v", site)
		}
		s.fail("the chain did not settle")
	}
}

func (s *simulation) settled() bool {
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

// planTrouble draws when and what befalls the sites.
func (s *simulation) planTrouble() {
	for range 4 + s.random.IntN(16) {
		at := s.network.Now() + time.Duration(s.random.Int64N(int64(s.duration)))
		s.network.At(at, s.trouble)
	}
}

// troubleKinds is the number of kinds of trouble.
const troubleKinds = 18

func (s *simulation) trouble() {
	site := s.sites[s.random.IntN(len(s.sites))]
	duration := time.Duration(100+s.random.IntN(3000)) * time.Millisecond
	switch s.random.IntN(troubleKinds) {
	case 0, 1:
		s.note("kill %d", site.index)
		s.end(site, false, duration/2)
	case 2:
		s.note("power loss %d", site.index)
		s.end(site, true, duration)
	case 3:
		s.note("power loss of all")
		for _, other := range s.sites {
			s.end(other, true, time.Duration(s.random.IntN(1000))*time.Millisecond)
		}
	case 4:
		s.note("kill all")
		for _, other := range s.sites {
			s.end(other, false, time.Duration(s.random.IntN(1000))*time.Millisecond)
		}
	case 5:
		s.freeze(site, duration)
	case 6, 7:
		s.cut(site, duration)
	case 8, 13, 14, 15:
		s.loseDisk(site, duration)
	case 9:
		site.diskDelay = duration / 20
		s.after(duration, func() { site.diskDelay = time.Millisecond })
	case 11, 12:
		s.note("power loss right after proposals")
		for range 1 + s.random.IntN(4) {
			s.propose()
		}
		all := s.random.IntN(2) == 0
		s.after(time.Duration(s.random.IntN(30))*time.Millisecond/2, func() {
			for _, other := range s.sites {
				if all || other == site {
					s.end(other, s.random.IntN(4) != 0, time.Duration(s.random.IntN(1000))*time.Millisecond)
				}
			}
		})
	case 10:
		s.note("leaving %d", site.index)
		site.leaving = true
		s.after(duration, func() { site.leaving = false })
	case 16, 17:
		s.replace(site, duration)
	}
}

// after does something later, unless the trouble is over before.
func (s *simulation) after(wait time.Duration, f func()) {
	s.network.At(s.network.Now()+wait, func() {
		if !s.healed {
			f()
		}
	})
}

func (s *simulation) end(site *site, power bool, back time.Duration) {
	if !s.network.Up(site.address) {
		return
	}
	site.end(power)
	s.after(back, func() {
		if !s.network.Up(site.address) {
			site.start(false)
		}
	})
}

func (s *simulation) freeze(site *site, duration time.Duration) {
	s.note("freeze %d", site.index)
	s.network.Freeze(site.address)
	s.after(duration, func() { s.network.Thaw(site.address) })
}

// cut loses messages between a site and some others, in one direction or both.
func (s *simulation) cut(site *site, duration time.Duration) {
	direction := s.random.IntN(3)
	for _, other := range s.sites {
		if other == site || s.random.IntN(2) == 0 {
			continue
		}
		s.note("cut %d and %d, direction %d", site.index, other.index, direction)
		if direction != 1 {
			s.network.Partition(site.address, other.address, true)
			s.after(duration, func() { s.network.Partition(site.address, other.address, false) })
		}
		if direction != 0 {
			s.network.Partition(other.address, site.address, true)
			s.after(duration, func() { s.network.Partition(other.address, site.address, false) })
		}
	}
}

// noteView checks that there is one view of an epoch.
func (s *simulation) noteView(at *site, v view.View) {
	known, before := s.views[v.Epoch]
	if before && !known.Equal(v) {
		s.fail("two views of epoch %d: %v and %v", v.Epoch, known, v)
	}
	s.views[v.Epoch] = v
	if v.Epoch > s.newest.Epoch {
		s.newest = v
	}
	var members []int
	for _, member := range v.Members {
		members = append(members, int(member.Address.Addr().As4()[3])-1)
	}
	s.note("site %d in view %d: %v", at.index, v.Epoch, members)
}

// noteCommitted checks that all replicas apply the same.
func (s *simulation) noteCommitted(at *site, entryEpoch, sequence uint64, data []byte) {
	entry := committedEntry{epoch: entryEpoch, id: binary.LittleEndian.Uint64(data), data: string(data)}
	if known, before := s.committed[sequence]; before && known != entry {
		s.fail("site %d applied %+v as %d, another one %+v", at.index, entry, sequence, known)
	}
	if first, before := s.sequences[entry.id]; before && first != sequence {
		s.fail("command %d is committed as %d and as %d", entry.id, first, sequence)
	}
	s.sequences[entry.id] = sequence
	s.committed[sequence] = entry
	s.highest = max(s.highest, sequence)
	if s.refused[entry.id] {
		s.fail("command %d was refused, but committed", entry.id)
	}
}

// committedEntry is an entry as the first replica applied it.
type committedEntry struct {
	epoch, id uint64
	data      string
}

// operation is what a client did.
type operation struct {
	id       uint64
	at       *site // where it began
	read     bool
	expected uint64
	value    uint64

	begin, end time.Duration
	done       bool // with a known outcome
	dropped    bool // certainly without effect
	ok         bool
	version    uint64
	result     uint64
	// position is where the operation stands in the order of commits.
	position uint64
}

// inFlight counts the operations whose clients wait yet.
func (s *simulation) inFlight() int {
	count := 0
	for _, o := range s.operations {
		if !o.done && !o.dropped && s.network.Now()-o.begin < operationTime {
			count++
		}
	}
	return count
}

func (s *simulation) planOperations() {
	for range s.operationGroups {
		at := s.network.Now() + time.Duration(s.random.Int64N(int64(s.duration)))
		s.network.At(at, func() {
			if s.random.IntN(3) == 0 {
				s.read()
				return
			}
			for range 1 + s.random.IntN(3) {
				if s.inFlight() < maximumInFlight {
					s.propose()
				}
			}
		})
	}
}

func (s *simulation) begin(o *operation) *operation {
	s.lastID++
	o.id = s.lastID
	o.begin = s.network.Now()
	s.operations = append(s.operations, o)
	return o
}

func (s *simulation) finish(o *operation) {
	if !o.done && !o.dropped {
		o.done = true
		o.end = s.network.Now()
	}
}

// propose has a client write at a random site.
func (s *simulation) propose() { s.proposeAt(s.sites[s.random.IntN(len(s.sites))]) }

// proposeAt has a client write at a site, which passes it on to the head that it knows.
func (s *simulation) proposeAt(site *site) {
	o := s.begin(&operation{at: site, value: s.lastID + 1000, expected: s.guessVersion()})
	s.tryPropose(o, site, 20)
}

func (s *simulation) guessVersion() uint64 {
	version := uint64(0)
	for _, site := range s.sites {
		version = max(version, site.machine.version)
	}
	if s.random.IntN(5) == 0 && version > 0 {
		version--
	}
	return version
}

func (s *simulation) tryPropose(o *operation, at *site, tries int) {
	again := func() {
		s.network.At(s.network.Now()+200*time.Millisecond, func() { s.tryPropose(o, s.sites[s.random.IntN(len(s.sites))], tries-1) })
	}
	if tries == 0 {
		o.dropped = true
		s.refused[o.id] = true
		return
	}
	if !s.network.Up(at.address) || s.network.Frozen(at.address) {
		again()
		return
	}
	head, ok := at.replica.View().Head()
	if !ok {
		again()
		return
	}
	command := commandOf(o)
	reply := func(ok, refused bool, version, value uint64) {
		s.network.Send(head.Address, at.address, func() {
			if refused {
				again()
				return
			}
			o.ok, o.version, o.result = ok, version, value
			s.finish(o)
		})
	}
	if head.Replica == at.self.Replica {
		at.propose(command, reply)
		return
	}
	s.network.Send(at.address, head.Address, func() { s.siteAt(head.Address).propose(command, reply) })
}

func (s *simulation) siteAt(address netip.AddrPort) *site {
	i := slices.IndexFunc(s.sites, func(site *site) bool { return site.address == address })
	return s.sites[i]
}

// read has a client read at a random site.
func (s *simulation) read() { s.readAt(s.sites[s.random.IntN(len(s.sites))]) }

// readAt has a client read at a site after a barrier.
func (s *simulation) readAt(at *site) {
	if !s.network.Up(at.address) {
		return
	}
	head, ok := at.replica.View().Head()
	if !ok {
		return
	}
	o := s.begin(&operation{at: at, read: true})
	reply := func(sequence uint64) {
		s.network.Send(head.Address, at.address, func() {
			at.whenApplied(sequence, func() {
				o.version, o.result = at.machine.version, at.machine.value
				s.finish(o)
			})
		})
	}
	if head.Replica == at.self.Replica {
		at.barrier(reply)
		return
	}
	s.network.Send(at.address, head.Address, func() { s.siteAt(head.Address).barrier(reply) })
}
