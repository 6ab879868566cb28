package peer

import (
	"net"
	"sync"
	"time"
)

// writeBuffers holds buffers in which small frames are joined for one write.
var writeBuffers = sync.Pool{New: func() any { return new([writeBufferSize]byte) }}

// write writes queued frames until the connection is closed.
func (c *connection) write(socket net.Conn) {
	for range c.queueReady {
		frames := c.takeQueue()
		if len(frames) == 0 {
			continue
		}
		if err := writeFrames(socket, frames); err != nil {
			c.close(err)
			return
		}
	}
}

// writeFrames writes frames, joining small ones so that they take few system calls.
func writeFrames(socket net.Conn, frames [][]byte) error {
	if err := socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if len(frames) == 1 {
		_, err := socket.Write(frames[0])
		return err
	}
	buffer := writeBuffers.Get().(*[writeBufferSize]byte)
	defer writeBuffers.Put(buffer)
	joined := buffer[:0]
	for _, frame := range frames {
		if len(joined)+len(frame) > writeBufferSize {
			if _, err := socket.Write(joined); err != nil {
				return err
			}
			joined = buffer[:0]
		}
		if len(frame) > writeBufferSize {
			if _, err := socket.Write(frame); err != nil {
				return err
			}
			continue
		}
		joined = append(joined, frame...)
	}
	if len(joined) == 0 {
		return nil
	}
	_, err := socket.Write(joined)
	return err
}
