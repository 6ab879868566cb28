package chain

import "nickelline/internal/view"

// OnCommit registers a function that is called, after entries have been applied, with the sequence of the last one. It
// is called from the goroutine that applies entries and must not block.
func (n *Node) OnCommit(notify func(sequence uint64)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.onCommit = append(n.onCommit, notify)
}

// OnView registers a function that is called with each view that comes into force. It is called from the goroutine that
// applies entries and must not block.
func (n *Node) OnView(notify func(view.View)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.onView = append(n.onView, notify)
}

// notifyView calls the functions registered by OnView.
func (n *Node) notifyView(v view.View) {
	n.mutex.Lock()
	callbacks := n.onView
	n.mutex.Unlock()
	for _, f := range callbacks {
		f(v)
	}
}
