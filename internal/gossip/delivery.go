package gossip

import "sync"

// delivery calls the subscribers one at a time, and never with an older version after a newer one. A subscriber may use
// the service: versions that are published meanwhile are delivered after it has returned. The zero value is ready to
// use.
type delivery struct {
	mutex      sync.Mutex
	delivering bool
	topics     [topicCount]topicDelivery
}

type topicDelivery struct {
	known       bool
	newest      Value
	subscribers []subscription
}

type subscription struct {
	call     func(Value)
	notified bool
	last     Version // with which call was last called, if notified
}

func (d *delivery) subscribe(topic Topic, call func(Value)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	t := &d.topics[topic]
	t.subscribers = append(t.subscribers, subscription{call: call})
}

// deliver records a version and calls the subscribers with it. If a call of deliver is already in progress, in another
// goroutine or further up the stack, that call notifies the subscribers instead.
func (d *delivery) deliver(v Value) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	t := &d.topics[v.Topic]
	if !t.known || v.Version.newerThan(t.newest.Version) {
		t.known = true
		t.newest = v
	}
	if d.delivering {
		return
	}
	d.delivering = true
	for call, value := d.next(); call != nil; call, value = d.next() {
		d.mutex.Unlock()
		call(value)
		d.mutex.Lock()
	}
	d.delivering = false
}

// next returns a subscriber that has not been called with the newest version of its topic, with that version, and marks
// it as notified. The function is nil if there is no such subscriber.
func (d *delivery) next() (func(Value), Value) {
	for i := range d.topics {
		t := &d.topics[i]
		for j := range t.subscribers {
			s := &t.subscribers[j]
			if t.known && (!s.notified || t.newest.Version.newerThan(s.last)) {
				s.notified = true
				s.last = t.newest.Version
				return s.call, t.newest
			}
		}
	}
	return nil, Value{}
}
