package chain

import (
	"context"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/view"
)

// forwardedCall is a call that was forwarded to the head of a view.
type forwardedCall struct {
	head   view.ReplicaID
	cancel context.CancelFunc
}

// callHead calls the head, and gives up once a view names another head. An error without a kind becomes fault.Unclear.
func (n *Node) callHead(ctx context.Context, head view.Member, m peer.Message) (peer.Message, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := n.registerForwarded(head.Replica, cancel)
	defer n.unregisterForwarded(id)
	answer, err := n.transport.Call(ctx, head.Address, m)
	if err != nil && fault.KindOf(err) == fault.Internal {
		err = fault.Wrap(fault.Unclear, err)
	}
	return answer, err
}

// registerForwarded registers a call to be cancelled once another replica is head, and returns its identifier.
func (n *Node) registerForwarded(head view.ReplicaID, cancel context.CancelFunc) uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lastID++
	n.forwarded[n.lastID] = forwardedCall{head: head, cancel: cancel}
	return n.lastID
}

func (n *Node) unregisterForwarded(id uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.forwarded, id)
}

// cancelForwardedCalls cancels the calls to replicas that are not the head of a new view. The mutex is held.
func (n *Node) cancelForwardedCalls(v view.View) {
	head, _ := v.Head()
	for _, call := range n.forwarded {
		if call.head != head.Replica {
			call.cancel()
		}
	}
}
