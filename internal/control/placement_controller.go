package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// minInterruptInterval is the minimum time between two moves of partition heads that balance the load but interrupt running
// batch items.
const minInterruptInterval = 10 * time.Second

// placementController reconciles the placement of batch partitions with the stores while this node is the head of the control
// chain. Each call of reconcile compares the table with the present stores, and has at most one new table committed. It must
// be used by one goroutine only.
type placementController struct {
	machine *Machine
	members membership
	reports *reportStore
	policy  placement.Policy
	timing  placementTiming
	propose func(ctx context.Context, command *Command) (Result, error)
	log     *zap.Logger

	// interruptedAt is when the controller last moved a partition's head at which items may have been running.
	interruptedAt time.Time
	// headSince is when this node became head, zero while it is not.
	headSince time.Time
	// storeCount is the number of stores, and storeCountSince is when that number was first seen. Both are used only until the
	// first table exists.
	storeCount      int
	storeCountSince time.Time
}

// placementTiming holds the delays and timeouts of a placementController.
type placementTiming struct {
	// stabilization is how long a new head waits for the stores to report, and how long the number of stores must be unchanged
	// before the first table is created.
	stabilization time.Duration
	// reportTimeout is how long a store may send no report before it is considered failed.
	reportTimeout time.Duration
}

// reconcile has at most one change of the placement committed; if nothing has to change, it completes the retirements that
// are ready for that. It must be called whenever something may have changed, also while this node is not the head.
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

// createTable proposes the first table once the number of stores has been unchanged for timing.stabilization.
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

// update proposes the next table, and reports whether it differs from the current one.
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

// mayInterrupt reports whether a partition's head may be moved although items are running there.
func (c *placementController) mayInterrupt(now time.Time) bool {
	return now.Sub(c.headSince) >= minInterruptInterval && now.Sub(c.interruptedAt) >= minInterruptInterval
}

// commit proposes a table, which is refused if the state that it was derived from is no longer current.
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

// completeRetirements completes the retirements of the stores that no longer hold data.
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

// isEmptied reports whether a store that is being retired is no longer needed: no partition has a member on its machine, and
// its replica can be removed.
func (c *placementController) isEmptied(store Store, table placement.Table, stores []placement.Store) bool {
	for _, partition := range table.Partitions {
		if slices.ContainsFunc(partition.View.Members, func(m view.Member) bool { return m.Name == store.Name }) {
			return false
		}
	}
	return placement.CanRemove(table, stores, view.ReplicaID(store.Replica), c.policy)
}

// replicaOf returns the replica of the running store with a name, 0 if there is none.
func replicaOf(name string, stores []placement.Store) uint64 {
	for i := range stores {
		if stores[i].Name == name && stores[i].Alive {
			return uint64(stores[i].Replica)
		}
	}
	return 0
}
