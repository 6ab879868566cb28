package peer

// queuedFrame is an encoded frame that waits to be written.
type queuedFrame struct {
	data   []byte
	callID uint64 // of a request; 0: not a request
}

// enqueue adds a request with its pending call, or a one-way message with a nil call. The error is errConnectionClosed,
// errRetired or errQueueFull.
func (c *connection) enqueue(frame queuedFrame, call *pendingCall) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return errConnectionClosed
	}
	if c.retired {
		return errRetired
	}
	if c.queuedBytes >= maxQueuedBytes {
		return errQueueFull
	}
	if err := c.append(frame); err != nil {
		return err
	}
	if call != nil {
		c.pending[frame.callID] = call
	}
	return nil
}

// enqueueResponse adds a response. The limit is twice that of requests, so that queued requests to the peer do not
// block the responses that it waits for.
func (c *connection) enqueueResponse(frame queuedFrame) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.queuedBytes >= 2*maxQueuedBytes {
		return errQueueFull
	}
	return c.append(frame)
}

// append adds a frame to the queue and wakes the writer. The caller holds the mutex.
func (c *connection) append(frame queuedFrame) error {
	if c.closed {
		return errConnectionClosed
	}
	c.queue = append(c.queue, frame)
	c.queuedBytes += len(frame.data)
	c.active = true
	select {
	case c.queueReady <- struct{}{}:
	default:
	}
	return nil
}

// takeQueue empties the queue and returns its frames without those of abandoned requests. It marks the calls of the
// other requests as sent.
func (c *connection) takeQueue() [][]byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	frames := make([][]byte, 0, len(c.queue))
	for _, frame := range c.queue {
		if frame.callID != 0 {
			call := c.pending[frame.callID]
			if call == nil {
				continue
			}
			call.sent = true
		}
		frames = append(frames, frame.data)
	}
	c.queue = nil
	c.queuedBytes = 0
	return frames
}
