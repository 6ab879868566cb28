package chain

import (
	"context"
	"slices"
	"time"

	"nickelline/internal/fault"
)

// watcher waits until something is true of the node.
type watcher struct {
	ready func() bool // called with the node's mutex held
	done  chan struct{}
}

// wait returns once ready is true, or with fault.NotReady when ctx ends or the node fails before.
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

// wakeWatchers ends the waits that are over. The node's mutex is held.
func (n *Node) wakeWatchers() {
	n.watchers = slices.DeleteFunc(n.watchers, func(w *watcher) bool {
		over := n.failure != nil || w.ready()
		if over {
			close(w.done)
		}
		return over
	})
}

// awaitRetry waits a little, or until another view is in force, before a call is tried again.
func (n *Node) awaitRetry(ctx context.Context, epoch uint64) error {
	bounded, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	_ = n.wait(bounded, func() bool { return n.replica.view.Epoch != epoch })
	return ctx.Err()
}

const (
	retryPause         = 100 * time.Millisecond
	defaultCallTimeout = 5 * time.Second // of a call without a deadline
)

// withDefaultTimeout gives a context with a deadline.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}
