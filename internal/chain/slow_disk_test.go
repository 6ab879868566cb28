package chain

import (
	"testing"
	"time"

	"nickelline/internal/faultdisk"
	"nickelline/internal/view"
)

// TestFirstViewOnSlowDisks guards against replicas that never agree on a view because their disks are slow: each of them began another
// attempt, and so beat the others', before any attempt could come to its end.
func TestFirstViewOnSlowDisks(t *testing.T) {
	syncs := []faultdisk.Operation{faultdisk.SyncFile, faultdisk.SyncDirectory}
	slow := &faultdisk.Fault{Operations: syncs, Delay: 100 * time.Millisecond}
	c := newClusterWith(t, 3, 3, view.Policy{MinimumMembers: 2, MaximumMembers: 3, Voters: 3}, slow)
	if got := c.propose(c.members[0], 1); got != 1 {
		t.Errorf("sum: got %d, want 1", got)
	}
}
