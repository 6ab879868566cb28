package chain

import (
	"context"
	"net/netip"
	"time"

	"nickelline/internal/view"
)

// Install passes a decided view to the replica. The view comes into force once it is on disk. A view that is not newer than
// the newest known one is ignored.
func (n *Node) Install(v view.View) {
	n.step(func(time.Duration) { n.replica.Install(v) })
}

// sendNewerView sends the view in force to a replica whose own view has the given epoch, if that epoch is older.
func (n *Node) sendNewerView(to netip.AddrPort, epoch uint64) {
	n.step(func(time.Duration) {
		if epoch < n.replica.View().Epoch {
			n.replica.sendView(to)
		}
	})
}

// View returns the view that is in force at this replica. Its epoch is 0 if there is none.
func (n *Node) View() view.View {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.replica.View().Clone()
}

// Learn makes this replica, if no view names it, receive from the member at an address: first a snapshot if it lacks more
// than the member keeps in memory, then all committed entries. It returns once the replica has caught up or is a member.
// A learner goes on receiving until a view names it.
func (n *Node) Learn(ctx context.Context, from netip.AddrPort) error {
	n.step(func(now time.Duration) { n.replica.Follow(now, from) })
	return n.wait(ctx, func() bool { return n.replica.caughtUp() || n.replica.view.Has(n.options.Self.Replica) })
}

// follow makes a learner receive from the member at an address, without waiting.
func (n *Node) follow(from netip.AddrPort) {
	n.step(func(now time.Duration) { n.replica.Follow(now, from) })
}
