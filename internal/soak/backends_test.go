package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"nickelline/internal/standin"
)

const (
	cardBackends = 3
	backendSlots = 64
	listPageSize = 50
	listRate     = 42
	workTime     = 4 * time.Millisecond
	tokenTime    = 10 * time.Millisecond
	healthPath   = "/health"

	interruptedOneIn = 40 // executed requests whose response the backend interrupts
	maxWrites        = 4  // the last write that may be interrupted

	serviceEngine = "engine"
	serviceCards  = "cards"
)

// backends are the stand-ins of all backends and of the platform's list.
type backends struct{ servers []*http.Server }

func startBackends(t *testing.T, l layout, record *record) *backends {
	t.Helper()
	b := &backends{}
	var all []*standin.Backend
	for i := range *engines + cardBackends {
		service := serviceEngine
		if i >= *engines {
			service = serviceCards
		}
		o := standin.Options{
			Identifier: "i-" + strings.Repeat("0", 6) + string(rune('a'+i)), Service: service, Zone: zoneOf(i), Address: l.backend(i),
			Slots: backendSlots, HealthPath: healthPath, WorkTime: workTime, TokenTime: tokenTime,
		}
		backend := standin.NewBackend(o)
		all = append(all, backend)
		b.serve(t, o.Address, recordExecutions(backend, o.Identifier, record))
	}
	b.serve(t, l.list(), standin.NewList(listPageSize, listRate, all...))
	return b
}

func (b *backends) serve(t *testing.T, address netip.AddrPort, handler http.Handler) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: withConnection, ConnState: connectionChanged,
	}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(repeatingListener{listener}) }() // ends with stop
}

func (b *backends) stop() {
	for _, s := range b.servers {
		_ = s.Close()
	}
}

// executionWriter notes whether a response says that the request was not executed, and interrupts some responses.
type executionWriter struct {
	http.ResponseWriter
	refused     bool
	status      int
	interruptIn int // writes until the connection is closed; 0: never
	interrupted bool
}

func (w *executionWriter) WriteHeader(status int) {
	w.refused = w.Header().Get(headerNotExecuted) != ""
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (w *executionWriter) Write(content []byte) (int, error) {
	if w.interruptIn > 0 && !w.refused {
		if w.interruptIn--; w.interruptIn == 0 {
			w.interrupted = true
			panic(http.ErrAbortHandler) // closes the connection
		}
	}
	return w.ResponseWriter.Write(content)
}

// Unwrap lets http.ResponseController flush the response.
func (w *executionWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recordExecutions records the requests that a backend executes. Some of the executed requests get no response, or a part
// of it: the backend closes the connection. Others get a malformed response or a failure, and some failures and refusals are sent
// twice.
func recordExecutions(backend http.Handler, identifier string, record *record) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath || strings.HasPrefix(r.URL.Path, "/-/") {
			backend.ServeHTTP(w, r)
			return
		}
		at := time.Now()
		attempt, tenant := r.Header.Get(headerAttemptID), r.Header.Get(headerTenantName)
		wrapped := &executionWriter{ResponseWriter: w, status: http.StatusOK}
		if rand.IntN(interruptedOneIn) == 0 {
			wrapped.interruptIn = 1 + rand.IntN(maxWrites)
		}
		defer func() {
			if !wrapped.refused && attempt != "" {
				record.executed(attempt, execution{
					at: at, backend: identifier, tenant: tenant, status: wrapped.status,
					spoiled: connectionOf(r).isSpoiled(), interrupted: wrapped.interrupted,
				})
			}
		}()
		if !sendMalformed(wrapped, r) && !failOrRefuse(wrapped, r) {
			backend.ServeHTTP(wrapped, r)
		}
	})
}
