package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

	"nickelline/internal/discovery"
	"nickelline/internal/standin"
)

// startRepeatingBackend starts a backend that responds to its first request with first, and to all others with proper. If a request
// with the id of testRequest is the second one on its connection, the backend responds with first once more before that, as one does
// whose second response to a request is late. It responds to other ids with an empty success.
func startRepeatingBackend(t *testing.T, first, proper string) *scriptedBackend {
	t.Helper()
	started := make(chan struct{}, 1)
	return acceptConnections(t, func(_ *scriptedBackend, conn *net.TCPConn) {
		repeated := ""
		standin.ServeRequests(conn, func(r *http.Request) bool {
			if id := r.Header.Get(HeaderAttemptID); id != testID {
				return send(conn, responseTo(id))
			}
			select {
			case started <- struct{}{}:
				repeated = first
				return send(conn, first)
			default:
				return send(conn, repeated+proper)
			}
		})
	})
}

// TestSecondResponseIsNotTakenForThatOfTheNextRun guards against a backend's second response to a request being returned as the
// response to a later request with the same attempt id: a failure of an item that is counted twice, or a promise that a request was
// not run while it runs.
func TestSecondResponseIsNotTakenForThatOfTheNextRun(t *testing.T) {
	proper := completeResponse("200 OK", "", "proper")
	for _, c := range []struct {
		name, first string
		between     int // requests with other ids between the two runs
	}{
		{"failure", completeResponse("500 Internal Server Error", "", "first"), 0},
		{"rejection", completeResponse("422 Unprocessable Entity", "", "first"), 0},
		{"refusal", completeResponse("503 Service Unavailable", HeaderNotExecuted+": 1\r\n", "first"), 0},
		{"success", completeResponse("200 OK", "", "first"), 0},
		{"stream", rawResponse("200 OK", streamFields+chunk("id: 1\ndata: first\n\n")+lastChunk), 0},
		{"failure, and other requests after it", completeResponse("500 Internal Server Error", "", "first"), 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startRepeatingBackend(t, c.first, proper)
			client := testClient(t, 0, b)
			if response, failure := client.Do(t.Context(), b.Backend, testRequest()); failure == nil {
				response.readToEnd(t)
			}
			for i := range c.between {
				request := testRequest()
				request.AttemptID = attemptID(i)
				if response, failure := client.Do(t.Context(), b.Backend, request); failure == nil {
					response.readToEnd(t)
				}
			}
			response, failure := client.Do(t.Context(), b.Backend, testRequest())
			if failure != nil {
				t.Fatalf("second run: got failure %v, want its own response", failure)
			}
			if body, err := response.ReadAll(); err != nil || string(body) != "proper" {
				t.Errorf("second run: got status %d and %q, %v, want its own response", response.Status, body, err)
			}
		})
	}
}

// readToEnd reads a response of any kind to its end.
func (r *Response) readToEnd(t *testing.T) {
	t.Helper()
	if !r.Streaming {
		if _, err := r.ReadAll(); err != nil {
			t.Fatal(err)
		}
		return
	}
	for {
		if _, err := r.Next(); err == io.EOF { //nolint:errorlint // the proper end
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// TestConnectionIsClosedAfterItsLastRequest guards against a connection that carries more requests than it remembers.
func TestConnectionIsClosedAfterItsLastRequest(t *testing.T) {
	b := newUnreliableBackend(t, 0)
	b.random = nil
	client := testClient(t, 0)
	client.SetBackends(discovery.NewList([]discovery.Backend{b.Backend}))
	defer client.SetBackends(discovery.NewList(nil))
	for i := range maxRequestsPerConnection + 1 {
		if failure := b.call(t, client, attemptID(i), testTimeout); failure != nil {
			t.Fatal(failure)
		}
		want := 1
		if i == maxRequestsPerConnection-1 {
			want = 0
		}
		if got := client.pool.Open(); got != want {
			t.Fatalf("open connections after %d requests: got %d, want %d", i+1, got, want)
		}
	}
}
