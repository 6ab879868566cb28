package peer

import (
	"errors"
	"time"

	"nickelline/internal/pause"
)

// Idle connections are closed, so that a process does not keep a connection to every other process. The side that finds
// a connection idle retires it: it starts nothing new on it and sends a retire frame, after which the peer starts
// nothing new either. Pending calls finish. Then the side that first finds the connection idle for a whole period
// closes it.
const (
	idleCheckPeriod    = 15 * time.Second
	idleChecksToRetire = 3
)

var (
	errIdle    = errors.New("connection was idle")
	errRetired = errors.New("connection retired")
)

// checkIdle checks for idle connections every idleCheckPeriod until Close.
func (t *Transport) checkIdle() {
	pause.Every(t.context, idleCheckPeriod, nil, t.checkIdleOnce)
}

// checkIdleOnce checks all open connections.
func (t *Transport) checkIdleOnce() {
	t.mutex.Lock()
	all := make([]*connection, 0, len(t.openConnections))
	for c := range t.openConnections {
		all = append(all, c)
	}
	t.mutex.Unlock()
	for _, c := range all {
		c.checkIdle()
	}
}

// checkIdle retires the connection after idleChecksToRetire consecutive idle periods, and closes a retired connection
// after one. A period is idle if no frame was queued or received in it and no call or handler is pending at its end.
func (c *connection) checkIdle() {
	c.mutex.Lock()
	busy := c.active || len(c.pending) > 0 || c.runningRequests.Load() > 0
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

// retire stops new messages on the connection and notifies the peer, which stops them too. If that fails, it closes the
// connection.
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

// enqueueRetire queues the retire frame and marks the connection as retired. Only responses may follow the frame.
func (c *connection) enqueueRetire(frame queuedFrame) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.append(frame); err != nil {
		return err
	}
	c.retired = true
	return nil
}

// receiveRetire handles a retire frame: this side starts nothing new on the connection either.
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
