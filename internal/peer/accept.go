package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

const acceptBackoff = 50 * time.Millisecond // after an error of accept

// register makes an accepted connection the one to use for its peer, unless this side has dialled or is dialling the
// same process. An accepted connection that it replaces is retired. A connection to an earlier process at the same
// address is returned as earlier, and the caller must close it. ok is false after Close.
func (t *Transport) register(c *connection) (earlier *connection, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, false
	}
	t.openConnections[c] = struct{}{}
	current := t.connectionByPeer[c.peerAddress]
	if current == nil {
		t.connectionByPeer[c.peerAddress] = c
		return nil, true
	}
	current.mutex.Lock()
	defer current.mutex.Unlock()
	sameProcess := current.generation == 0 || current.generation == c.generation
	if sameProcess && !current.accepted {
		return nil, true
	}
	t.connectionByPeer[c.peerAddress] = c
	if sameProcess {
		current.retired = true
		return nil, true
	}
	return current, true
}

// accept accepts connections until Close and serves each in its own goroutine.
func (t *Transport) accept() {
	for {
		socket, err := t.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.log.Warn("accept connection failed", zap.Error(err))
			t.backOff(acceptBackoff)
			continue
		}
		t.goroutines.Go(func() { t.serve(socket) })
	}
}

// backOff waits for d after an error of accept, such as a lack of file descriptors, or until Close.
func (t *Transport) backOff(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.context.Done():
	}
}

// serve reads the hello of an accepted connection, registers the connection and reads its frames.
func (t *Transport) serve(socket *net.TCPConn) {
	stop := context.AfterFunc(t.context, func() { _ = socket.Close() })
	r := bufio.NewReaderSize(socket, readBufferSize)
	hello, err := t.readHello(socket, r)
	stop()
	if err != nil {
		t.log.Debug("read hello failed", zap.Stringer("from", socket.RemoteAddr()), zap.Error(err))
		_ = socket.Close()
		return
	}
	t.signalPeerUp(hello.address)
	c := newConnection(t, hello.address)
	c.accepted = true
	c.generation = hello.generation
	c.socket = socket
	c.queueReady <- struct{}{}
	earlier, ok := t.register(c)
	if !ok {
		_ = socket.Close()
		return
	}
	if earlier != nil {
		earlier.close(errConnectionClosed)
	}
	t.goroutines.Go(func() { c.write(socket) })
	c.read(r)
}

// readHello reads the first frame of an accepted connection within helloTimeout. It fails if that is not a hello.
func (t *Transport) readHello(socket *net.TCPConn, r *bufio.Reader) (*frame, error) {
	raw, err := socket.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw)
	}
	if err != nil {
		t.log.Warn("set user timeout failed", zap.Stringer("from", socket.RemoteAddr()), zap.Error(err))
	}
	if err := socket.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	hello, err := readFrame(r)
	if err != nil {
		return nil, err
	}
	if hello.frameType != helloFrame {
		return nil, merry.Errorf("first frame has type %d, want a hello", hello.frameType)
	}
	return hello, socket.SetReadDeadline(time.Time{})
}
