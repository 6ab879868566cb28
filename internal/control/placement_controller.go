package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// interruptInterval is the minimum time between two moves of heads, for the sake of balance, at which batch items run.
const interruptInterval = 10 * time.Second

// placementController keeps the placement of batch partitions in the wanted state while this node is the head of the
// control chain. Each call of reconcile compares the table with the stores that are there, and has at most one new table
// committed. It is used by one goroutine.
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
	// storeCount is the number of stores, and storeCountSince since when it has been the same.
	storeCount      int
	storeCountSince time.Time
}

// placementTiming bounds what a placementController waits for.
type placementTiming struct {
	// stabilization is how long a new head waits for the stores to report, and how long the number of stores has to stay the
	// same before the first table is made.
	stabilization time.Duration
	// reportTimeout is how long a store may send no report before it is considered failed.
	reportTimeout time.Duration
}

// reconcile has at most one change of the placement committed, or retirements completed if there is nothing to change. It
// must be called whenever something may have changed, also while this node is not the head.
func (c *placementController) reconcile(ctx context.Context, now time.Time, head bool) {
	if !head {
		c.headSince = time.Time{}
		return
	}
	if c.headSince.IsZero() {
		c.headSince = now
	}
	state := c.machine.State()
	table, err := placement.Decode(state.Placement)
	if err != nil {
		c.log.Error("decode placement failed", zap.Uint64("version", state.PlacementVersion), zap.Error(err))
		return
	}
	stores := c.observeStores(state, now)
	if len(table.Partitions) == 0 {
		c.createTable(ctx, now, state, stores)
		return
	}
	if !c.knowsStores(now, table, stores) {
		return
	}
	if !c.update(ctx, now, state, table, stores) {
		c.completeRetirements(ctx, state, table, stores)
	}
}

// createTable makes the first table once the number of stores has stayed the same for a while.
func (c *placementController) createTable(ctx context.Context, now time.Time, state *State, stores []placement.Store) {
	if len(stores) != c.storeCount || c.storeCountSince.IsZero() {
		c.storeCount = len(stores)
		c.storeCountSince = now
	}
	if now.Sub(c.storeCountSince) < c.timing.stabilization || now.Sub(c.headSince) < c.timing.stabilization {
		return
	}
	if table, changes, ok := placement.Create(stores, c.policy); ok {
		c.commit(ctx, state, table, changes)
	}
}

// update proposes the table that should follow, and reports whether that differs from the current one.
func (c *placementController) update(ctx context.Context, now time.Time, state *State, table placement.Table, stores []placement.Store) bool {
	policy := c.policy
	policy.MayInterrupt = c.mayInterrupt(now)
	next, changes := placement.Next(table, stores, policy)
	if len(changes) == 0 {
		return false
	}
	if policy.MayInterrupt && slices.ContainsFunc(changes, placement.Change.MovesHead) {
		c.interruptedAt = now
	}
	c.commit(ctx, state, next, changes)
	return true
}

// mayInterrupt reports whether the head of a partition may be moved though items run there.
func (c *placementController) mayInterrupt(now time.Time) bool {
	return now.Sub(c.headSince) >= interruptInterval && now.Sub(c.interruptedAt) >= interruptInterval
}

// commit has a table committed, if the state that it was derived from is still current then.
func (c *placementController) commit(ctx context.Context, state *State, table placement.Table, changes []placement.Change) {
	encoded, err := placement.Encode(table)
	if err != nil {
		c.log.Error("encode placement failed", zap.Uint64("version", table.Version), zap.Error(err))
		return
	}
	result, err := c.propose(ctx, &Command{ReplacePlacement: &ReplacePlacement{
		ExpectedVersion:  state.PlacementVersion,
		ExpectedRevision: state.RetirementRevision,
		Table:            encoded,
	}})
	if err != nil {
		c.log.Info("commit placement failed", zap.Uint64("version", table.Version), zap.Error(err))
		return
	}
	c.log.Info("placement changed", zap.Uint64("version", result.Version), zap.Int("changes", len(changes)),
		zap.Stringer("first", changes[0]))
}

// completeRetirements has the retirements completed of stores that hold no data any more.
func (c *placementController) completeRetirements(ctx context.Context, state *State, table placement.Table, stores []placement.Store) {
	for _, retirement := range state.Retirements {
		if retirement.Completed || !c.isEmptied(retirement.Store, table, stores) {
			continue
		}
		_, err := c.propose(ctx, &Command{CompleteRetirement: &CompleteRetirement{
			Store:           retirement.Store,
			CurrentReplica:  replicaOf(retirement.Store.Name, stores),
			ExpectedVersion: state.PlacementVersion,
		}})
		if err != nil {
			c.log.Info("complete retirement failed", zap.String("store", retirement.Store.Name), zap.Error(err))
			continue
		}
		c.log.Info("retirement completed", zap.String("store", retirement.Store.Name))
	}
}

// isEmptied reports whether no replica on a machine is needed any more.
func (c *placementController) isEmptied(store Store, table placement.Table, stores []placement.Store) bool {
	for _, partition := range table.Partitions {
		if slices.ContainsFunc(partition.View.Members, func(m view.Member) bool { return m.Name == store.Name }) {
			return false
		}
	}
	return placement.CanRemove(table, stores, view.ReplicaID(store.Replica), c.policy)
}

// replicaOf returns the replica that a machine holds, 0 if it is not known.
func replicaOf(name string, stores []placement.Store) uint64 {
	for i := range stores {
		if stores[i].Name == name && stores[i].Alive {
			return uint64(stores[i].Replica)
		}
	}
	return 0
}
