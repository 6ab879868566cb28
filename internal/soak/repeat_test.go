package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"nickelline/internal/pause"
)

const (
	// refusedOneIn is the share of requests that a backend refuses.
	refusedOneIn = 40
	// repeatedOneIn is the share of those answers that the backend sends a second time.
	repeatedOneIn = 2
	// longestRepeatPause bounds the time between the two.
	longestRepeatPause = 300 * time.Millisecond
	// longestFailure bounds the time after which a request that fails is answered.
	longestFailure = 60 * time.Millisecond
)

// repeatingConn is a backend's side of a connection, on which a response can be sent a second time.
type repeatingConn struct {
	net.Conn

	mutex      sync.Mutex
	responding bool          // a part of a response has been written
	recording  bool          // the current response is to be repeated
	response   []byte        // what was written of it
	after      time.Duration // from the end of the response to its repetition
	spoiled    bool          // a response was repeated: the tier closes the connection, with the request that is under way on it
}

// repeatingListener accepts repeatingConns.
type repeatingListener struct{ net.Listener }

func (l repeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: conn}, nil
}

// Write writes a part of a response.
func (c *repeatingConn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.responding = true
	if c.recording {
		c.response = append(c.response, content...)
	}
	return c.Conn.Write(content)
}

// record makes the connection send the current response a second time.
func (c *repeatingConn) record(after time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recording, c.response, c.after = true, nil, after
}

// responseEnded is called when a response is complete.
func (c *repeatingConn) responseEnded() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.responding = false
	if !c.recording {
		return
	}
	c.recording = false
	response := c.response
	time.AfterFunc(c.after, func() { c.repeat(response) })
}

// repeat sends a response again, unless another one is being sent.
func (c *repeatingConn) repeat(response []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.responding {
		c.spoiled = true
		_, _ = c.Conn.Write(response) // fails if the connection was closed
	}
}

// isSpoiled reports whether a response was repeated on the connection.
func (c *repeatingConn) isSpoiled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.spoiled
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func connectionOf(r *http.Request) *repeatingConn {
	return r.Context().Value(connKey{}).(*repeatingConn)
}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connectionChanged notes the end of a response.
func connectionChanged(conn net.Conn, state http.ConnState) {
	if repeating, ok := conn.(*repeatingConn); ok && state == http.StateIdle {
		repeating.responseEnded()
	}
}

// failOrRefuse answers some requests with a failure, as executed, or with a refusal, and some of these twice. It reports whether it
// has answered.
func failOrRefuse(w http.ResponseWriter, r *http.Request) bool {
	attempt := r.Header.Get(headerAttemptID)
	failed, refused := rand.IntN(*failedOneIn) == 0, rand.IntN(refusedOneIn) == 0
	if attempt == "" || !failed && !refused {
		return false
	}
	if rand.IntN(repeatedOneIn) == 0 {
		connectionOf(r).record(rand.N(longestRepeatPause))
	}
	w.Header().Set(headerAttemptID, attempt)
	if refused {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	pause.For(r.Context(), rand.N(longestFailure))
	w.Header().Set(headerResponseSeal, "failure."+attempt)
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = w.Write([]byte("failed")) // the client may be gone
	return true
}
