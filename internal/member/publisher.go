package member

import "sync"

// publisher calls the subscribers with each new table, one call at a time and never with an older table after a newer
// one. A subscriber may cause further tables, which are published after it has returned. The zero value is ready for
// use.
type publisher struct {
	mutex       sync.Mutex // guards the fields below
	subscribers []func(*Table)
	publishing  bool // some goroutine is publishing
	outdated    bool // publish was called since the last table was made
}

func (p *publisher) subscribe(f func(*Table)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.subscribers = append(p.subscribers, f)
}

// publish makes a table and calls the subscribers with it, unless another goroutine, or an outer call on the same
// stack, is already publishing: that one continues until the newest table is published. One table may serve several
// calls.
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
