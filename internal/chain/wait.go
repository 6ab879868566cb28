package chain

import (
	"context"
	"slices"

	"nickelline/internal/fault"
)

// watcher waits until a condition holds for the node.
type watcher struct {
	ready func() bool // called with the node's mutex held
	done  chan struct{}
}

// wait returns nil once ready returns true. It returns an error of kind fault.NotReady if ctx ends first, and the failure
// of the node if it fails first. The mutex is held while ready is called.
func (n *Node) wait(ctx context.Context, ready func() bool) error {
	n.mutex.Lock()
	if n.failure != nil || ready() {
		defer n.mutex.Unlock()
		return n.failure
	}
	w := &watcher{ready: ready, done: make(chan struct{})}
	n.watchers = append(n.watchers, w)
	n.mutex.Unlock()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.watchers = slices.DeleteFunc(n.watchers, func(other *watcher) bool { return other == w })
	if n.failure != nil || ready() {
		return n.failure
	}
	return fault.Wrap(fault.NotReady, ctx.Err())
}

// wakeWatchers ends the waits whose condition holds. The mutex is held.
func (n *Node) wakeWatchers() {
	n.watchers = slices.DeleteFunc(n.watchers, func(w *watcher) bool {
		over := n.failure != nil || w.ready()
		if over {
			close(w.done)
		}
		return over
	})
}
