package control

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/member"
	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// placer keeps the placement of batch partitions in order while this node is the head of the control chain. Its rounds
// are made one at a time, whenever something may have changed.
type placementController struct {
	machine *Machine
	members membership
	reports *reportStore
	policy  placement.Policy
	timing  placementTiming
	propose func(ctx context.Context, command *Command) (Result, error)
	log     *zap.Logger

	// interruptedAt is when a partition's head was moved last though items may have run there.
	interruptedAt time.Time
	// headSince is when this node became head, zero while it is not.
	headSince time.Time
	// stores and storesSince tell since when the same stores are there.
	storeCount      int
	storeCountSince time.Time
}

// placerTiming bounds what a placer waits for.
type placementTiming struct {
	// settle is how long a new head waits for the stores to report, and how long stores have to stay the same before
	// the first table is made.
	stabilization time.Duration
	// silence is how long a store may send no report before it is taken for dead.
	reportTimeout time.Duration
}

// round looks whether the placement has to be changed, and has one change committed.
func (p *placementController) reconcile(ctx context.Context, now time.Time, head bool) {
	if !head {
		p.headSince = time.Time{}
		return
	}
	if p.headSince.IsZero() {
		p.headSince = now
	}
	state := p.machine.State()
	table, err := placement.Decode(state.Placement)
	if err != nil {
		p.log.Error("placement cannot be read", zap.Error(err))
		return
	}
	stores := p.observe(state, now)
	if len(table.Partitions) == 0 {
		p.createTable(ctx, now, state, stores)
		return
	}
	if !p.knowsStores(now, table, stores) {
		return
	}
	policy := p.policy
	policy.MayInterrupt = p.mayInterrupt(now)
	next, changes := placement.Next(table, stores, policy)
	if len(changes) > 0 {
		if policy.MayInterrupt && slices.ContainsFunc(changes, placement.Change.MovesHead) {
			p.interruptedAt = now
		}
		p.commit(ctx, state, next, changes)
		return
	}
	p.completeRetirements(ctx, state, table, stores)
}

// interruptInterval is the least time between two moves of heads, for the sake of balance, at which items run.
const interruptInterval = 10 * time.Second

// mayInterrupt tells whether the head of a partition may be moved though items run there.
func (p *placementController) mayInterrupt(now time.Time) bool {
	return now.Sub(p.headSince) >= interruptInterval && now.Sub(p.interruptedAt) >= interruptInterval
}

// observe gathers what is known of the stores.
func (p *placementController) observe(state *State, now time.Time) []placement.Store {
	var stores []placement.Store
	for _, m := range p.members.Table().All() {
		if m.Role == storeRole && m.Replica != 0 {
			stores = append(stores, p.observeStore(state, &m, now))
		}
	}
	p.reports.forget(now.Add(-p.timing.reportTimeout))
	return stores
}

func (p *placementController) observeStore(state *State, m *member.Member, now time.Time) placement.Store {
	chains, recent := p.reports.recent(m.Replica, now.Add(-p.timing.reportTimeout))
	waitedForReports := now.Sub(p.headSince) >= p.timing.reportTimeout
	store := placement.Store{
		Member:   view.Member{Replica: view.ReplicaID(m.Replica), Name: m.Name, Zone: m.Zone, Address: m.Address},
		Alive:    m.Running() && (recent || !waitedForReports),
		Leaving:  m.Leaving,
		Retiring: state.Retired(Store{Name: m.Name, Replica: m.Replica}),
	}
	for _, chain := range chains {
		store.Progress = append(store.Progress, placement.Progress(chain))
	}
	return store
}

// create makes the first table once the stores have stayed the same for a while.
func (p *placementController) createTable(ctx context.Context, now time.Time, state *State, stores []placement.Store) {
	if len(stores) != p.storeCount || p.storeCountSince.IsZero() {
		p.storeCount = len(stores)
		p.storeCountSince = now
	}
	if now.Sub(p.storeCountSince) < p.timing.stabilization || now.Sub(p.headSince) < p.timing.stabilization {
		return
	}
	if table, changes, ok := placement.Create(stores, p.policy); ok {
		p.commit(ctx, state, table, changes)
	}
}

// mayJudge tells whether this node knows enough of the stores to change the placement: a new head waits for a while until
// it has heard of each store that is placed.
func (p *placementController) knowsStores(now time.Time, table placement.Table, stores []placement.Store) bool {
	if now.Sub(p.headSince) >= p.timing.stabilization {
		return true
	}
	known := map[view.ReplicaID]bool{}
	reporting := map[netip.AddrPort]bool{}
	for i := range stores {
		known[stores[i].Replica] = len(stores[i].Progress) > 0 || !stores[i].Alive
		if _, recent := p.reports.recent(uint64(stores[i].Replica), now.Add(-p.timing.reportTimeout)); recent {
			reporting[stores[i].Address] = true
		}
	}
	for _, partition := range table.Partitions {
		for _, m := range partition.View.Members {
			// A replica that is unknown while its address reports as another one has lost its disk.
			if !known[m.Replica] && !(reporting[m.Address] && !listed(stores, m.Replica)) {
				return false
			}
		}
	}
	return true
}

// listed tells whether a replica is among the stores that membership knows.
func listed(stores []placement.Store, replica view.ReplicaID) bool {
	return slices.ContainsFunc(stores, func(s placement.Store) bool { return s.Replica == replica })
}

// commit has a table committed.
func (p *placementController) commit(ctx context.Context, state *State, table placement.Table, changes []placement.Change) {
	encoded, err := placement.Encode(table)
	if err != nil {
		p.log.Error("placement cannot be written", zap.Error(err))
		return
	}
	result, err := p.propose(ctx, &Command{ReplacePlacement: &ReplacePlacement{
		ExpectedVersion:  state.PlacementVersion,
		ExpectedRevision: state.RetirementRevision,
		Table:            encoded,
	}})
	if err != nil {
		p.log.Info("placement not changed", zap.Error(err))
		return
	}
	p.log.Info("placement changed", zap.Uint64("version", result.Version), zap.Int("changes", len(changes)),
		zap.Stringer("first", changes[0]))
}

// completeRetirements records the stores that hold nothing any more.
func (p *placementController) completeRetirements(ctx context.Context, state *State, table placement.Table, stores []placement.Store) {
	for _, retirement := range state.Retirements {
		if retirement.Completed || !p.isEmptied(retirement.Store, table, stores) {
			continue
		}
		_, err := p.propose(ctx, &Command{CompleteRetirement: &CompleteRetirement{
			Store:           retirement.Store,
			CurrentReplica:  replicaOf(retirement.Store.Name, stores),
			ExpectedVersion: state.PlacementVersion,
		}})
		if err != nil {
			p.log.Info("retirement not completed", zap.String("store", retirement.Store.Name), zap.Error(err))
			continue
		}
		p.log.Info("retirement completed", zap.String("store", retirement.Store.Name))
	}
}

// emptied tells whether no replica on a machine is needed any more.
func (p *placementController) isEmptied(store Store, table placement.Table, stores []placement.Store) bool {
	for _, partition := range table.Partitions {
		for _, m := range partition.View.Members {
			if m.Name == store.Name {
				return false
			}
		}
	}
	return placement.CanRemove(table, stores, view.ReplicaID(store.Replica), p.policy)
}

// replicaOf gives the replica that a machine holds, 0 if it is not known.
func replicaOf(name string, stores []placement.Store) uint64 {
	for i := range stores {
		if stores[i].Name == name && stores[i].Alive {
			return uint64(stores[i].Replica)
		}
	}
	return 0
}
