package chain

import (
	"context"
	"net/netip"
	"time"

	"nickelline/internal/view"
)

// Install gives the replica a view that was decided. One that is not newer than its own is ignored. It comes into force
// once it is on the disk.
func (n *Node) Install(v view.View) {
	n.step(func(now time.Duration) { n.replica.Install(now, v) })
}

// sendNewerView sends the own view to a replica that has an older one.
func (n *Node) sendNewerView(to netip.AddrPort, epoch uint64) {
	n.step(func(time.Duration) {
		if epoch < n.replica.View().Epoch {
			n.replica.sendView(to)
		}
	})
}

// View gives the view that is in force at this replica; its epoch is 0 if there is none.
func (n *Node) View() view.View {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.replica.View().Clone()
}

// Learn has a replica that no view names follow the chain, fed by the member at an address: with a snapshot first, then
// with all that is committed. It returns once the replica has caught up, and keeps following afterwards. Once a view
// names the replica this ends by itself.
func (n *Node) Learn(ctx context.Context, from netip.AddrPort) error {
	n.step(func(now time.Duration) { n.replica.Follow(now, from) })
	return n.wait(ctx, func() bool { return n.replica.caughtUp() || n.replica.view.Has(n.options.Self.Replica) })
}

// follow has the node be fed from an address.
func (n *Node) follow(from netip.AddrPort) {
	n.step(func(now time.Duration) { n.replica.Follow(now, from) })
}
