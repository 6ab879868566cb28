package peer

import (
	"net"
	"sync"
	"time"
)

// writeBuffers is a pool of buffers in which small frames are batched for one write.
var writeBuffers = sync.Pool{New: func() any { return new([writeBufferSize]byte) }}

// write writes queued frames until the connection is closed. A failed write closes it.
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

// writeFrames writes the frames. It fails if that takes longer than writeTimeout.
func writeFrames(socket net.Conn, frames [][]byte) error {
	if err := socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if len(frames) == 1 {
		_, err := socket.Write(frames[0])
		return err
	}
	writer := newFrameWriter(socket)
	defer writer.release()
	for _, frame := range frames {
		if err := writer.write(frame); err != nil {
			return err
		}
	}
	return writer.flush()
}

// frameWriter batches small frames in a buffer to reduce the number of system calls.
type frameWriter struct {
	socket net.Conn
	buffer *[writeBufferSize]byte
	size   int // bytes of the batched frames
}

func newFrameWriter(socket net.Conn) *frameWriter {
	return &frameWriter{socket: socket, buffer: writeBuffers.Get().(*[writeBufferSize]byte)}
}

// write adds a frame to the buffer, and writes the buffer first if the frame does not fit. A frame that is larger than
// the buffer is written directly.
func (w *frameWriter) write(frame []byte) error {
	if w.size+len(frame) > writeBufferSize {
		if err := w.flush(); err != nil {
			return err
		}
	}
	if len(frame) > writeBufferSize {
		_, err := w.socket.Write(frame)
		return err
	}
	w.size += copy(w.buffer[w.size:], frame)
	return nil
}

// flush writes the batched frames.
func (w *frameWriter) flush() error {
	if w.size == 0 {
		return nil
	}
	_, err := w.socket.Write(w.buffer[:w.size])
	w.size = 0
	return err
}

// release returns the buffer to the pool.
func (w *frameWriter) release() { writeBuffers.Put(w.buffer) }
