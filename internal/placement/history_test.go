package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	historyCount        = 150
	historySteps        = 100
	maximumStores       = 16
	maximumCatchUpSteps = 4
	maximumStableSteps  = 3000
)

// history runs the placement through random failures, losses of disks, additions and retirements of stores. The stores install
// views and catch up after random delays. Each table is checked.
type history struct {
	t           *testing.T
	seed        uint64
	random      *rand.Rand
	policy      Policy
	zones       int
	simulated   []*simulatedStore
	storesAdded int
	table       Table
	// unrepairedLosses counts the disks that were lost since all members of all partitions were last complete.
	unrepairedLosses int
	lostDisks        int
}

func newHistory(t *testing.T, seed uint64) *history {
	random := rand.New(rand.NewPCG(seed, 11))
	h := &history{t: t, seed: seed, random: random, zones: 1 + random.IntN(4), policy: PolicyFor(1 + random.IntN(2))}
	for range h.policy.MinimumReplicas + random.IntN(8) {
		h.add()
	}
	h.table = mustCreate(t, h.stores(), h.policy)
	for _, m := range h.simulated {
		m.installAll(h)
	}
	return h
}

func (h *history) fatal(format string, arguments ...any) {
	h.t.Helper()
	h.t.Fatalf("seed %d: %s", h.seed, fmt.Sprintf(format, arguments...))
}

func (h *history) add() {
	h.storesAdded++
	store := testStore(h.storesAdded, h.zones)
	h.simulated = append(h.simulated, &simulatedStore{store: store, replicas: make(map[uint32]*simulatedReplica)})
}

// stores returns the stores as the head of the control chain knows them, in random order.
func (h *history) stores() []Store {
	stores := make([]Store, 0, len(h.simulated))
	for _, m := range h.simulated {
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

// step causes a random event, computes the next table and checks it.
func (h *history) step() {
	h.randomEvent()
	h.runNext()
}

func (h *history) runNext() (changed bool) {
	stores := h.stores()
	next, changes := Next(h.table, stores, h.policy)
	if len(changes) > 0 && next.Version != h.table.Version+1 || len(changes) == 0 && !next.Equal(h.table) {
		h.fatal("got version %d after %d with changes %v", next.Version, h.table.Version, changes)
	}
	for i := range next.Partitions {
		h.check(h.table.Partitions[i], next.Partitions[i])
	}
	h.checkChanges(next, changes)
	h.table = next
	for _, m := range h.simulated {
		m.advance(h)
	}
	return len(changes) > 0
}

// randomEvent changes a store at random.
func (h *history) randomEvent() {
	m := h.simulated[h.random.IntN(len(h.simulated))]
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
		if len(h.simulated) < maximumStores {
			h.add()
		}
	case 8:
		h.retire(m)
	case 9:
		h.removeEmptied()
	}
}

// wipe empties the disk of a store, unless more disks would be lost at the same time than the policy tolerates.
func (h *history) wipe(m *simulatedStore) {
	if h.allOnDisk() {
		h.unrepairedLosses = 0
	}
	if h.unrepairedLosses == h.policy.MinimumReplicas-1 {
		return
	}
	h.unrepairedLosses++
	h.lostDisks++
	m.store.Replica += 100000
	m.replicas = make(map[uint32]*simulatedReplica)
	m.store.Alive = h.random.IntN(2) == 0
	if !h.allRecoverable() {
		h.fatal("got a partition without a complete replica after the loss of %d disks", h.unrepairedLosses)
	}
}

func (h *history) retire(m *simulatedStore) {
	if CheckRetire(h.stores(), m.store.Name, h.policy) == nil {
		m.store.Retiring = true
	}
}

func (h *history) removeEmptied() {
	stores := h.stores()
	h.simulated = slices.DeleteFunc(h.simulated, func(m *simulatedStore) bool {
		return m.store.Retiring && CanRemove(h.table, stores, m.store.Replica, h.policy)
	})
}

// runUntilStable ends all failures, and runs until the table is stable.
func (h *history) runUntilStable() {
	for _, m := range h.simulated {
		m.store.Alive = true
		m.store.Leaving = false
	}
	notRetiring := slices.IndexFunc(h.simulated, func(m *simulatedStore) bool { return !m.store.Retiring })
	if notRetiring < 0 {
		h.fatal("all stores are retiring, want at least one that is not")
	}
	stable := 0
	for range maximumStableSteps {
		if h.runNext() {
			stable = 0
			continue
		}
		stable++
		if stable > 5*maximumCatchUpSteps {
			return
		}
	}
	h.fatal("the table is not stable after %d steps", maximumStableSteps)
}

// TestHistories checks over seeded histories that the head of each view is a complete member of the previous one, that no view
// has fewer members than MinimumReplicas, that the table becomes stable and balanced, that retiring stores are emptied, and
// that the loss of as many disks as the policy tolerates, at any step, leaves a complete replica of each partition.
func TestHistories(t *testing.T) {
	lost := 0
	for seed := range uint64(historyCount) {
		h := newHistory(t, seed)
		for range historySteps {
			h.step()
		}
		h.runUntilStable()
		h.checkStable()
		lost += h.lostDisks
	}
	if lost < 2*historyCount {
		t.Errorf("got %d lost disks in %d histories, want at least %d", lost, historyCount, 2*historyCount)
	}
}
