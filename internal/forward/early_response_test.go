package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// longBodyBytes is more than the socket buffers of both sides hold, so that a request with such a body cannot be written
	// while the backend does not read it.
	longBodyBytes = 8 << 20
	// smallReceiveBuffer is the size of a backend's receive buffer, in bytes.
	smallReceiveBuffer = 16 << 10
)

// earlyRequest is a request of which a backend has read only the head.
type earlyRequest struct {
	*http.Request
	conn   *net.TCPConn
	reader *bufio.Reader
}

// respond writes a response, whatever of the body was read.
func (r *earlyRequest) respond(text string) { io.WriteString(r.conn, text) }

// startEarlyBackend starts a backend that calls handle once it has read the head of the first request on a connection. The
// connection is closed when handle returns.
func startEarlyBackend(t *testing.T, handle func(r *earlyRequest)) *scriptedBackend {
	t.Helper()
	return acceptConnections(t, func(b *scriptedBackend, conn *net.TCPConn) {
		defer conn.Close()
		conn.SetReadBuffer(smallReceiveBuffer)
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			b.closed <- err
			return
		}
		handle(&earlyRequest{request, conn, reader})
	})
}

func longRequest() *Request {
	r := testRequest()
	r.Body = bytes.Repeat([]byte{'x'}, longBodyBytes)
	return r
}

// TestEarlyResponseIsReturnedThoughTheBodyWasNotWritten guards against a request that has run being reported as not sent, and
// so being run again, because its backend responded and closed the connection before it had read the body.
func TestEarlyResponseIsReturnedThoughTheBodyWasNotWritten(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			b := startEarlyBackend(t, func(r *earlyRequest) {
				r.respond(completeResponse(status, "Connection: close\r\n", "done"))
			})
			response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, longRequest())
			if failure != nil {
				t.Fatalf("Do: got failure %v, want the response of the backend", failure)
			}
			if body, err := response.ReadAll(); err != nil || string(body) != "done" {
				t.Errorf("ReadAll: got %q, %v, want \"done\"", body, err)
			}
		})
	}
}

// TestRequestMayHaveRunOnceItsHeadWasWritten guards against a promise that a request was not run when only its body could not be
// written.
func TestRequestMayHaveRunOnceItsHeadWasWritten(t *testing.T) {
	t.Run("the backend resets the connection", func(t *testing.T) {
		b := startEarlyBackend(t, func(r *earlyRequest) { r.conn.SetLinger(0) })
		_, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, longRequest())
		if failure == nil || failure.Outcome != MayHaveRun {
			t.Errorf("failure: got %v, want outcome %v", failure, MayHaveRun)
		}
	})
	t.Run("the backend does not read until the deadline", func(t *testing.T) {
		b := startEarlyBackend(t, func(*earlyRequest) { <-t.Context().Done() })
		r := longRequest()
		r.Deadline = time.Now().Add(userTimeout / 2)
		_, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, r)
		if failure == nil || failure.Outcome != MayHaveRun || !failure.TimedOut {
			t.Errorf("failure: got %+v, want outcome %v and TimedOut", failure, MayHaveRun)
		}
	})
	t.Run("the client disconnects", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := startEarlyBackend(t, func(*earlyRequest) {
			cancel()
			<-t.Context().Done()
		})
		_, failure := testClient(t, 0, b).Do(ctx, b.Backend, longRequest())
		if failure == nil || failure.Outcome != MayHaveRun || !failure.Cancelled {
			t.Errorf("failure: got %+v, want outcome %v and Cancelled", failure, MayHaveRun)
		}
	})
}

// TestEarlyRefusalIsNotExecuted guards against a refusal being lost because the backend sent it before it had read the body.
func TestEarlyRefusalIsNotExecuted(t *testing.T) {
	b := startEarlyBackend(t, func(r *earlyRequest) {
		r.respond(completeResponse("503 Service Unavailable", HeaderNotExecuted+": 1\r\n", "full"))
	})
	_, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, longRequest())
	if failure == nil || failure.Outcome != NotExecuted {
		t.Errorf("failure: got %v, want outcome %v", failure, NotExecuted)
	}
}

// TestBodyIsCompletedAfterAnEarlyResponse guards against other bytes in the place of a body's rest, when a backend responds before
// it has read the body, keeps the connection and reads the rest later.
func TestBodyIsCompletedAfterAnEarlyResponse(t *testing.T) {
	readOn := make(chan struct{})
	bodyRead := make(chan error, 1)
	second := testRequest()
	second.AttemptID = attemptID(1)
	b := startEarlyBackend(t, func(r *earlyRequest) {
		r.respond(completeResponse("200 OK", "", "early"))
		<-readOn
		body, err := io.ReadAll(r.Body)
		if !bytes.Equal(body, longRequest().Body) {
			err = errors.Join(err, fmt.Errorf("body of %d bytes, want the %d bytes of the request", len(body), longBodyBytes))
		}
		bodyRead <- err
		if _, err := http.ReadRequest(r.reader); err == nil {
			r.respond(strings.ReplaceAll(completeResponse("200 OK", "", "second"), testID, second.AttemptID))
		}
	})
	client := testClient(t, 0, b)
	doAndRead(t, client, b, longRequest(), "early")
	if n := len(client.pool.Idle(client.pool.Find(b.ID))); n != 0 {
		t.Errorf("idle connections while the request is still being written: got %d, want 0", n)
	}
	close(readOn)
	if err := <-bodyRead; err != nil {
		t.Errorf("body at the backend: %v", err)
	}
	waitForIdle(t, client, b)
	doAndRead(t, client, b, second, "second")
	if n := b.connections.Load(); n != 1 {
		t.Errorf("connections: got %d, want 1", n)
	}
}

// doAndRead sends a request and checks the body of its response.
func doAndRead(t *testing.T, client *Client, b *scriptedBackend, r *Request, want string) {
	t.Helper()
	response, failure := client.Do(t.Context(), b.Backend, r)
	if failure != nil {
		t.Fatal(failure)
	}
	if body, err := response.ReadAll(); err != nil || string(body) != want {
		t.Fatalf("ReadAll: got %q, %v, want %q", body, err, want)
	}
}

// waitForIdle blocks until a connection to the backend is idle.
func waitForIdle(t *testing.T, client *Client, b *scriptedBackend) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for len(client.pool.Idle(client.pool.Find(b.ID))) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("no connection became idle")
		}
		runtime.Gosched()
	}
}
