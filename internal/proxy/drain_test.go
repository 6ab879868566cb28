package proxy

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"nickelline/internal/configuration"
)

// readinessStatus returns the status of a readiness check, which it sends over a persistent connection.
func (s *testProxy) readinessStatus(test *testing.T) int {
	test.Helper()
	response, err := http.Get("http://" + s.readiness + "/-/readiness")
	if err != nil {
		test.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

func TestReadiness(t *testing.T) {
	s := startTestProxy(t, nil, startBackend(t, okReply("")))
	set := func(change func()) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		change()
	}
	configured := s.snapshot
	for _, c := range []struct {
		name   string
		change func()
		want   int
	}{
		{"ready", func() {}, 200},
		{"no list of backends", func() { s.backendsUnknown = true }, 503},
		{"no proof", func() { s.backendsUnknown, s.proofAge = false, time.Minute }, 503},
		{"no configuration", func() { s.proofAge, s.snapshot = 0, nil }, 503},
		{"ready again", func() { s.snapshot = configured }, 200},
	} {
		set(c.change)
		if got := s.readinessStatus(t); got != c.want {
			t.Errorf("%s: status: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestBeforeConfiguration(t *testing.T) {
	s := startTestProxy(t, func(o *Options) { o.Configuration = func() *configuration.Current { return nil } })
	if a := s.post(t, "/many/x"); a.StatusCode != 503 || a.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d and header %v, want 503 with Retry-After", a.StatusCode, a.Header)
	}
}

// drain begins a drain with a drain delay. It returns once the readiness check fails.
func (s *testProxy) drain(test *testing.T, delay time.Duration) (ended chan struct{}) {
	test.Helper()
	s.Proxy.drainDelay = delay
	ended = make(chan struct{})
	began := make(chan struct{})
	go func() {
		close(began)
		s.Drain(test.Context())
		close(ended)
	}()
	<-began
	for s.readinessStatus(test) == 200 { // the readiness check fails as soon as Drain runs
	}
	return ended
}

// waitForReading blocks until a part of a request has been read.
func (s *testProxy) waitForReading(test *testing.T) {
	test.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); runtime.Gosched() {
		for _, c := range s.clients.connections() {
			c.mutex.Lock()
			state := c.state
			c.mutex.Unlock()
			if state == stateReading {
				return
			}
		}
	}
	test.Fatal("no connection has read a part of a request")
}

func TestDrainServesNewRequests(t *testing.T) {
	b := startBackend(t, okReply("a"))
	s := startTestProxy(t, nil, b)
	kept := s.connect(t)
	kept.send(t, requestText("/many/x", "", ""))
	if a := kept.read(t); a.Close {
		t.Error("a response before the drain closes its connection")
	}
	ended := s.drain(t, time.Hour)
	kept.send(t, requestText("/many/x", "", ""))
	for _, a := range []clientResponse{kept.read(t), s.post(t, "/many/x")} {
		if a.StatusCode != 200 || a.body != "a" || !a.Close {
			t.Errorf("response: got %d %q, closes the connection: %v; want 200 \"a\", true", a.StatusCode, a.body, a.Close)
		}
	}
	kept.expectClosed(t)
	select {
	case <-ended:
		t.Error("the drain ended before the drain delay had passed")
	default:
	}
}

func TestDrainWaitsForResponsesAndClosesIdleConnections(t *testing.T) {
	release := make(chan struct{})
	b := startBackend(t, func(b *backend, r received, conn net.Conn) bool {
		<-release
		return replyAndClose(streamHead+chunk(firstEvent)+lastChunk)(b, r, conn)
	})
	s := startTestProxy(t, nil, b)
	idle, busy, begun := s.connect(t), s.connect(t), s.connect(t)
	busy.send(t, requestText("/stream/x", "", ""))
	wait(t, b.requests, "request")
	sent := requestText("/stream/x", "", "")
	begun.send(t, sent[:40])
	s.waitForReading(t)
	ended := s.drain(t, time.Millisecond)
	idle.expectClosed(t)
	select {
	case <-ended:
		t.Error("the drain ended before the response")
	default:
	}
	begun.send(t, sent[40:])
	wait(t, b.requests, "second request")
	close(release)
	for _, c := range []*client{busy, begun} {
		if a := c.read(t); a.StatusCode != 200 || a.body != firstEvent || a.err != nil {
			t.Errorf("response: got %d %q, %v, want 200 %q", a.StatusCode, a.body, a.err, firstEvent)
		}
		c.expectClosed(t)
	}
	wait(t, ended, "end of the drain")
	if _, err := net.Dial("tcp", s.address); err == nil {
		t.Error("a connection was accepted after the drain")
	}
}

func TestStreamThatBeganBeforeTheDrainIsFinishedAndItsConnectionClosed(t *testing.T) {
	next := make(chan string)
	b := startBackend(t, func(b *backend, r received, conn net.Conn) bool {
		replyAndKeepOpen(streamHead+chunk(firstEvent))(b, r, conn)
		conn.Write([]byte(<-next))
		return true
	})
	s := startTestProxy(t, nil, b)
	c := s.connect(t)
	c.send(t, requestText("/stream/x", "", ""))
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	ended := s.drain(t, time.Millisecond)
	next <- chunk(secondEvent) + lastChunk
	if a := c.read(t); a.body != firstEvent+secondEvent || a.err != nil {
		t.Errorf("response: got %q, %v, want %q", a.body, a.err, firstEvent+secondEvent)
	}
	c.expectClosed(t)
	wait(t, ended, "end of the drain")
}

func TestDrainEndsWithinTheGracePeriod(t *testing.T) {
	b := startBackend(t, replyAndKeepOpen(""))
	s := startTestProxy(t, func(o *Options) { o.GracePeriod = 200 * time.Millisecond }, b)
	c := s.connect(t)
	c.send(t, requestText("/many/x", "", ""))
	wait(t, b.requests, "request")
	began := time.Now()
	wait(t, s.drain(t, time.Millisecond), "end of the drain")
	if elapsed := time.Since(began); elapsed > time.Second {
		t.Errorf("duration of the drain: got %v, want at most 1s", elapsed)
	}
	c.expectClosed(t)
}

func TestBatchRequestsWithoutBatchAPI(t *testing.T) {
	s := startTestProxy(t, nil)
	for _, text := range []string{
		requestText("/batch/x", "", "{}"),
		strings.Replace(requestText("/-/lots/j", "", ""), "POST", "GET", 1),
	} {
		if a := s.roundTrip(t, text); a.StatusCode != 503 {
			t.Errorf("status: got %d, want %d", a.StatusCode, 503)
		}
	}
}
