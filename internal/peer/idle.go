package peer

import (
	"errors"
	"time"
)

// Connections that nothing uses are closed, so that a process does not end up with one to each other process. The side
// that finds one idle retires it: it begins nothing new on it, and tells the other side, which does the same. What is
// under way is finished, and then the connection is closed by whoever first sees it idle for a whole period.
const (
	sweepPeriod    = 15 * time.Second
	sweepsToRetire = 3
)

var (
	errIdle    = errors.New("connection was idle")
	errRetired = errors.New("nothing new begins on the connection")
)

// sweep looks for idle connections until Close.
func (t *Transport) sweep() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.sweepOnce()
		case <-t.context.Done():
			return
		}
	}
}

func (t *Transport) sweepOnce() {
	t.mutex.Lock()
	all := make([]*connection, 0, len(t.all))
	for c := range t.all {
		all = append(all, c)
	}
	t.mutex.Unlock()
	for _, c := range all {
		c.sweep()
	}
}

// sweep retires the connection after some periods without use, and closes it after another.
func (c *connection) sweep() {
	c.mutex.Lock()
	busy := c.used || len(c.pending) > 0 || c.handlers.Load() > 0
	c.used = false
	if busy {
		c.idleSweeps = 0
	} else {
		c.idleSweeps++
	}
	retire := !c.retired && c.idleSweeps >= sweepsToRetire
	end := c.retired && c.idleSweeps > 0
	c.mutex.Unlock()
	switch {
	case end:
		c.close(errIdle)
	case retire:
		c.retire()
	}
}

func (c *connection) retire() {
	f := &frame{frameType: retireFrame}
	data, err := f.encode()
	if err == nil {
		err = c.enqueueLast(outgoing{data: data})
	}
	if err != nil {
		c.close(err)
		return
	}
	c.transport.withdraw(c)
}

// enqueueLast adds the last frame but answers.
func (c *connection) enqueueLast(frame outgoing) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.add(frame); err != nil {
		return err
	}
	c.retired = true
	return nil
}

// receiveRetire is called when the peer begins nothing new on this connection.
func (c *connection) receiveRetire() {
	c.mutex.Lock()
	c.retired = true
	c.mutex.Unlock()
	c.transport.withdraw(c)
}

func (c *connection) noteUse() {
	c.mutex.Lock()
	c.used = true
	c.mutex.Unlock()
}
