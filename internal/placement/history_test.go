package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"nickelline/internal/view"
)

const (
	histories        = 150
	historySteps     = 100
	mostStores       = 16
	mostCatchUpSteps = 4
	calmSteps        = 3000
)

// replica is what a simulated store has of one chain.
type replica struct {
	epoch    uint64
	complete bool
	caughtUp bool
	// remaining is the number of steps until a learner has caught up, or a new member is complete.
	remaining int
}

// machine is a simulated store.
type machine struct {
	store    Store
	replicas map[uint32]*replica
}

// history drives the placement through losses, wipes, additions and retirements, with stores that learn views and catch
// up after random delays, and checks each table.
type history struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	policy   Policy
	zones    int
	machines []*machine
	created  int
	table    Table
	// unrepaired are the disks that were lost since all members of all partitions were complete last.
	unrepaired int
	lost       int
}

func newHistory(t *testing.T, seed uint64) *history {
	random := rand.New(rand.NewPCG(seed, 11))
	h := &history{t: t, seed: seed, random: random, zones: 1 + random.IntN(4), policy: PolicyFor(1 + random.IntN(2))}
	for range h.policy.MinimumReplicas + random.IntN(8) {
		h.add()
	}
	h.table = mustCreate(t, h.stores(), h.policy)
	for _, m := range h.machines {
		m.installAll(h)
	}
	return h
}

func (h *history) fatal(format string, arguments ...any) {
	h.t.Helper()
	h.t.Fatalf("seed %d: %s", h.seed, fmt.Sprintf(format, arguments...))
}

func (h *history) add() {
	h.created++
	store := testStore(h.created, h.zones)
	h.machines = append(h.machines, &machine{store: store, replicas: make(map[uint32]*replica)})
}

// stores gives what the head of the control chain knows.
func (h *history) stores() []Store {
	stores := make([]Store, 0, len(h.machines))
	for _, m := range h.machines {
		store := m.store
		store.Progress = nil
		for chain, r := range m.replicas {
			store.Progress = append(store.Progress, Progress{Chain: chain, Epoch: r.epoch, Complete: r.complete, CaughtUp: r.caughtUp})
		}
		stores = append(stores, store)
	}
	h.random.Shuffle(len(stores), func(i, j int) { stores[i], stores[j] = stores[j], stores[i] })
	return stores
}

// advance has the machine hear of the table and make progress.
func (m *machine) advance(h *history) {
	if !m.store.Alive {
		return
	}
	for _, assignment := range h.table.AssignmentsOf(m.store.Replica) {
		if h.random.IntN(3) > 0 {
			m.install(h, assignment)
		}
	}
	for chain, r := range m.replicas {
		m.progress(h, chain, r)
	}
}

func (m *machine) installAll(h *history) {
	for _, assignment := range h.table.AssignmentsOf(m.store.Replica) {
		m.install(h, assignment)
	}
}

func (m *machine) install(h *history, assignment Assignment) {
	v := assignment.View
	r := m.replicas[v.Chain]
	if r == nil {
		r = &replica{remaining: h.random.IntN(mostCatchUpSteps)}
		m.replicas[v.Chain] = r
	}
	if assignment.Learner || r.epoch == v.Epoch {
		return
	}
	member, _ := v.Member(m.store.Replica)
	if member.Joined > r.epoch && v.Epoch > firstEpoch {
		r.complete = false
		r.remaining = h.random.IntN(mostCatchUpSteps)
	}
	r.caughtUp = false
	r.epoch = v.Epoch
	r.complete = r.complete || v.Epoch == firstEpoch
}

// progress brings a replica nearer to its feeder, if there is a complete member that is alive.
func (m *machine) progress(h *history, chain uint32, r *replica) {
	partition := h.table.Partitions[chain-1]
	if !h.hasComplete(partition.View) {
		return
	}
	if r.remaining > 0 {
		r.remaining--
		return
	}
	switch {
	case partition.View.Has(m.store.Replica):
		r.complete = r.complete || r.epoch == partition.View.Epoch
	case partition.hasLearner(m.store.Replica):
		r.caughtUp = true
	default:
		delete(m.replicas, chain)
	}
}

func (h *history) hasComplete(v view.View) bool {
	return slices.ContainsFunc(v.Members, func(member view.Member) bool { return h.isComplete(v.Chain, member) })
}

// isComplete tells whether a member has in truth all that was committed.
func (h *history) isComplete(chain uint32, member view.Member) bool {
	for _, m := range h.machines {
		if m.store.Replica == member.Replica && m.store.Alive {
			r := m.replicas[chain]
			return r != nil && r.complete && r.epoch >= member.Joined
		}
	}
	return false
}

// step lets something happen, computes the next table and checks it.
func (h *history) step() {
	h.event()
	h.place()
}

func (h *history) place() (changed bool) {
	stores := h.stores()
	next, changes := Next(h.table, stores, h.policy)
	if len(changes) > 0 && next.Version != h.table.Version+1 || len(changes) == 0 && !next.Equal(h.table) {
		h.fatal("version %d after %d, changes %v", next.Version, h.table.Version, changes)
	}
	for i := range next.Partitions {
		h.check(h.table.Partitions[i], next.Partitions[i])
	}
	h.checkChanges(next, changes)
	h.table = next
	for _, m := range h.machines {
		m.advance(h)
	}
	return len(changes) > 0
}

func (h *history) checkChanges(next Table, changes []Change) {
	for _, change := range changes {
		head, _ := next.Partitions[change.Chain-1].View.Head()
		if change.Kind == HeadMoved && !h.mayHold(head.Replica) {
			h.fatal("the head of chain %d was moved to %s", change.Chain, head.Name)
		}
	}
}

func (h *history) check(before, after Partition) {
	if after.View.Epoch != before.View.Epoch {
		h.checkView(before.View, after.View)
	} else if !after.View.Equal(before.View) {
		h.fatal("a view changed without its epoch: %+v, %+v", before.View, after.View)
	}
	for _, learner := range after.Learners {
		switch {
		case after.View.Has(learner.Replica):
			h.fatal("%s is a member and a learner of chain %d", learner.Name, after.View.Chain)
		case !before.hasLearner(learner.Replica) && !h.mayHold(learner.Replica):
			h.fatal("%s cannot become a learner of chain %d", learner.Name, after.View.Chain)
		}
	}
}

func (h *history) checkView(before, after view.View) {
	if after.Epoch != before.Epoch+1 || after.Chain != before.Chain {
		h.fatal("epoch %d of chain %d follows %d of %d", after.Epoch, after.Chain, before.Epoch, before.Chain)
	}
	if len(after.Members) < h.policy.MinimumReplicas {
		h.fatal("%d members of chain %d are left", len(after.Members), after.Chain)
	}
	healthyDropped := slices.ContainsFunc(before.Members, func(m view.Member) bool {
		return !after.Has(m.Replica) && h.isHealthy(m.Replica)
	})
	if target := newPlan(Table{}, h.stores(), h.policy).replicationFactor; healthyDropped && len(after.Members) < target {
		h.fatal("%d members of chain %d are left, %d are wanted", len(after.Members), after.Chain, target)
	}
	head, _ := after.Head()
	if !before.Has(head.Replica) || !h.isComplete(after.Chain, head) {
		h.fatal("the head of chain %d in epoch %d is not complete", after.Chain, after.Epoch)
	}
	for i, member := range after.Members {
		if after.Index(member.Replica) != i {
			h.fatal("%s stands twice in chain %d", member.Name, after.Chain)
		}
		former, stays := before.Member(member.Replica)
		if stays && former != member || !stays && member.Joined != after.Epoch {
			h.fatal("%+v joined epoch %d", member, after.Epoch)
		}
	}
}

func (h *history) mayHold(replica view.ReplicaID) bool {
	return slices.ContainsFunc(h.machines, func(m *machine) bool { return m.store.Replica == replica && m.store.isEligible() })
}

func (h *history) isHealthy(replica view.ReplicaID) bool {
	return slices.ContainsFunc(h.machines, func(m *machine) bool {
		return m.store.Replica == replica && m.store.Alive && !m.store.Leaving
	})
}

// event lets something happen to the stores.
func (h *history) event() {
	m := h.machines[h.random.IntN(len(h.machines))]
	switch h.random.IntN(12) {
	case 0, 1:
		m.store.Alive = false
	case 2, 3, 4:
		m.store.Alive = true
		m.store.Leaving = false
	case 5:
		m.store.Leaving = m.store.Alive
	case 6:
		h.wipe(m)
	case 7:
		if len(h.machines) < mostStores {
			h.add()
		}
	case 8:
		h.retire(m)
	case 9:
		h.removeEmptied()
	}
}

// wipe empties the disk of a store, if no more than may be lost are, whatever else is going on.
func (h *history) wipe(m *machine) {
	if h.whole() {
		h.unrepaired = 0
	}
	if h.unrepaired == h.policy.MinimumReplicas-1 {
		return
	}
	h.unrepaired++
	h.lost++
	m.store.Replica += 100000
	m.replicas = make(map[uint32]*replica)
	m.store.Alive = h.random.IntN(2) == 0
	if !h.borne() {
		h.fatal("after the loss of %d disks a partition has no complete replica left", h.unrepaired)
	}
}

// whole tells whether all members of all partitions have disks with all that was committed.
func (h *history) whole() bool {
	return !slices.ContainsFunc(h.table.Partitions, func(p Partition) bool {
		return slices.ContainsFunc(p.View.Members, func(member view.Member) bool { return !h.onDisk(p.View.Chain, member) })
	})
}

// borne tells whether each partition still has a complete replica on a disk.
func (h *history) borne() bool {
	return !slices.ContainsFunc(h.table.Partitions, func(p Partition) bool {
		complete := slices.DeleteFunc(slices.Clone(p.View.Members), func(member view.Member) bool {
			return !h.onDisk(p.View.Chain, member)
		})
		return len(complete) == 0
	})
}

func (h *history) onDisk(chain uint32, member view.Member) bool {
	return slices.ContainsFunc(h.machines, func(m *machine) bool {
		r := m.replicas[chain]
		return m.store.Replica == member.Replica && r != nil && r.complete && r.epoch >= member.Joined
	})
}

func (h *history) retire(m *machine) {
	if CheckRetire(h.stores(), m.store.Name, h.policy) == nil {
		m.store.Retiring = true
	}
}

func (h *history) removeEmptied() {
	stores := h.stores()
	h.machines = slices.DeleteFunc(h.machines, func(m *machine) bool {
		return m.store.Retiring && CanRemove(h.table, stores, m.store.Replica, h.policy)
	})
}

// settle ends all troubles and waits until the table comes to rest.
func (h *history) settle() {
	for _, m := range h.machines {
		m.store.Alive = true
		m.store.Leaving = false
	}
	holding := slices.IndexFunc(h.machines, func(m *machine) bool { return !m.store.Retiring })
	if holding < 0 {
		h.fatal("no store is left")
	}
	calm := 0
	for range calmSteps {
		if h.place() {
			calm = 0
			continue
		}
		calm++
		if calm > 5*mostCatchUpSteps {
			return
		}
	}
	h.fatal("the table does not come to rest")
}

// checkRest checks a table that came to rest.
func (h *history) checkRest() {
	stores := h.stores()
	p := newPlan(h.table, stores, h.policy)
	for i, partition := range h.table.Partitions {
		if len(partition.View.Members) != p.replicationFactor || len(partition.Learners) > 0 || !p.isFullyReplicated(i) {
			h.fatal("chain %d is at rest with %+v", partition.View.Chain, partition)
		}
	}
	for i := range stores {
		if stores[i].Retiring && !CanRemove(h.table, stores, stores[i].Replica, h.policy) {
			h.fatal("%s is not empty", stores[i].Name)
		}
	}
	if difference := spread(h.table, stores, isHead); difference > 2 {
		h.fatal("heads differ by %d", difference)
	}
	p.countAssignments()
	if move := p.bestMove(); move.gain > 0 {
		h.fatal("a replica should be moved: %+v", move)
	}
}

// TestHistories checks over seeded histories that a view always keeps a complete head of the former one, that none has
// fewer members than the least number, that the table comes to rest in balance, that retiring stores get empty, and that the
// loss of as many disks as may be lost, at any step, leaves a complete replica of each partition.
func TestHistories(t *testing.T) {
	lost := 0
	for seed := range uint64(histories) {
		h := newHistory(t, seed)
		for range historySteps {
			h.step()
		}
		h.settle()
		h.checkRest()
		lost += h.lost
	}
	if lost < 2*histories {
		t.Errorf("%d disks were lost in %d histories: that tests too little", lost, histories)
	}
}
