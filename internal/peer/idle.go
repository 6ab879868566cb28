package peer

import (
	"errors"
	"time"

	"nickelline/internal/pause"
)

// Idle connections are closed, so that a process does not end up with one to each other process. The side that finds one
// idle retires it: it starts nothing new on it, and notifies the other side, which does the same. What is pending is
// finished, and then the connection is closed by the side that first finds it idle for a whole period.
const (
	idleCheckPeriod    = 15 * time.Second
	idleChecksToRetire = 3
)

var (
	errIdle    = errors.New("connection was idle")
	errRetired = errors.New("nothing new begins on the connection")
)

// checkIdle looks for idle connections each idleCheckPeriod until Close.
func (t *Transport) checkIdle() {
	pause.Every(t.context, idleCheckPeriod, nil, t.checkIdleOnce)
}

// checkIdleOnce checks all connections.
func (t *Transport) checkIdleOnce() {
	t.mutex.Lock()
	all := make([]*connection, 0, len(t.open))
	for c := range t.open {
		all = append(all, c)
	}
	t.mutex.Unlock()
	for _, c := range all {
		c.checkIdle()
	}
}

// checkIdle retires the connection after idleChecksToRetire periods without use, and closes it after another.
func (c *connection) checkIdle() {
	c.mutex.Lock()
	busy := c.active || len(c.pending) > 0 || c.handlers.Load() > 0
	c.active = false
	if busy {
		c.idleChecks = 0
	} else {
		c.idleChecks++
	}
	retire := !c.retired && c.idleChecks >= idleChecksToRetire
	end := c.retired && c.idleChecks > 0
	c.mutex.Unlock()
	switch {
	case end:
		c.close(errIdle)
	case retire:
		c.retire()
	}
}

// retire starts nothing new on the connection and has the peer do the same.
func (c *connection) retire() {
	f := &frame{frameType: retireFrame}
	data, err := f.encode()
	if err == nil {
		err = c.enqueueRetire(queuedFrame{data: data})
	}
	if err != nil {
		c.close(err)
		return
	}
	c.transport.stopUsing(c)
}

// enqueueRetire adds the retire frame. Only responses may follow it.
func (c *connection) enqueueRetire(frame queuedFrame) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.append(frame); err != nil {
		return err
	}
	c.retired = true
	return nil
}

// receiveRetire handles the retirement of the connection by the peer.
func (c *connection) receiveRetire() {
	c.mutex.Lock()
	c.retired = true
	c.mutex.Unlock()
	c.transport.stopUsing(c)
}

// markActive records that the connection is in use.
func (c *connection) markActive() {
	c.mutex.Lock()
	c.active = true
	c.mutex.Unlock()
}
