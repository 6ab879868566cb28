package member

import "sync"

// publisher calls the subscribers with each new table, one call at a time and never with an older table after a newer one. A
// subscriber may cause further tables: they are published after it has returned. Its zero value is ready to be used.
type publisher struct {
	mutex       sync.Mutex // of the fields below
	subscribers []func(*Table)
	publishing  bool // by some goroutine
	outdated    bool // the table that is being published, or none is
}

func (p *publisher) subscribe(f func(*Table)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.subscribers = append(p.subscribers, f)
}

// publish makes a table and calls the subscribers with it, unless another goroutine or a subscriber further up the stack
// does so already: that one goes on until the newest table is published. A table may stand for several calls.
func (p *publisher) publish(makeTable func() *Table) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outdated = true
	if p.publishing {
		return
	}
	p.publishing = true
	for p.outdated {
		p.outdated = false
		subscribers := p.subscribers
		p.mutex.Unlock()
		table := makeTable()
		for _, subscriber := range subscribers {
			subscriber(table)
		}
		p.mutex.Lock()
	}
	p.publishing = false
}
