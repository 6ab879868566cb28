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

// ready asks the node whether it is ready, on a connection that is kept.
func (s *tier) ready(test *testing.T) int {
	test.Helper()
	response, err := http.Get("http://" + s.readiness + "/-/readiness")
	if err != nil {
		test.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

func TestReadiness(t *testing.T) {
	s := startTier(t, nil, startBackend(t, ok("")))
	set := func(change func()) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		change()
	}
	whole := s.snapshot
	for _, c := range []struct {
		name   string
		change func()
		want   int
	}{
		{"all there", func() {}, 200},
		{"no list of backends", func() { s.unknown = true }, 503},
		{"no proof", func() { s.unknown, s.proofAge = false, time.Minute }, 503},
		{"no configuration", func() { s.proofAge, s.snapshot = 0, nil }, 503},
		{"all there again", func() { s.snapshot = whole }, 200},
	} {
		set(c.change)
		if got := s.ready(t); got != c.want {
			t.Errorf("%s: status: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestBeforeConfiguration(t *testing.T) {
	s := startTier(t, func(o *Options) { o.Configuration = func() *configuration.Snapshot { return nil } })
	if a := s.post(t, "/many/x"); a.StatusCode != 503 || a.Header.Get("Retry-After") == "" {
		t.Errorf("answer %d %v", a.StatusCode, a.Header)
	}
}

// drain begins a drain with a notice time.
func (s *tier) drain(test *testing.T, notice time.Duration) (ended chan struct{}) {
	test.Helper()
	s.Proxy.drainNotice = notice
	ended = make(chan struct{})
	began := make(chan struct{})
	go func() {
		close(began)
		s.Drain(test.Context())
		close(ended)
	}()
	<-began
	for s.ready(test) == 200 { // it fails at once, that is when Drain runs
	}
	return ended
}

// waitForReading blocks until a part of a request has been read.
func (s *tier) waitForReading(test *testing.T) {
	test.Helper()
	for end := time.Now().Add(testPatience); time.Now().Before(end); runtime.Gosched() {
		for _, c := range s.clients.connections() {
			c.mutex.Lock()
			state := c.state
			c.mutex.Unlock()
			if state == stateReading {
				return
			}
		}
	}
	test.Fatal("nothing is read")
}

func TestDrainServesNewRequests(t *testing.T) {
	b := startBackend(t, ok("a"))
	s := startTier(t, nil, b)
	kept := s.connect(t)
	kept.send(t, requestText("/many/x", "", ""))
	if a := kept.read(t); a.Close {
		t.Error("the connection is to be closed before the drain")
	}
	ended := s.drain(t, time.Hour)
	kept.send(t, requestText("/many/x", "", ""))
	for _, a := range []answer{kept.read(t), s.post(t, "/many/x")} {
		if a.StatusCode != 200 || a.body != "a" || !a.Close {
			t.Errorf("answer %d %q, closes the connection: %v", a.StatusCode, a.body, a.Close)
		}
	}
	kept.expectClosed(t)
	select {
	case <-ended:
		t.Error("the drain ended before the notice was over")
	default:
	}
}

func TestDrainWaitsForOpenAnswersAndClosesIdleConnections(t *testing.T) {
	release := make(chan struct{})
	b := startBackend(t, func(b *backend, r received, conn net.Conn) bool {
		<-release
		return text(streamHead+chunk(firstEvent)+lastChunk)(b, r, conn)
	})
	s := startTier(t, nil, b)
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
		t.Error("the drain has ended before the answer")
	default:
	}
	begun.send(t, sent[40:])
	wait(t, b.requests, "second request")
	close(release)
	for _, c := range []*client{busy, begun} {
		if a := c.read(t); a.StatusCode != 200 || a.body != firstEvent || a.err != nil {
			t.Errorf("answer %d %q, %v", a.StatusCode, a.body, a.err)
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
		hold(streamHead+chunk(firstEvent))(b, r, conn)
		conn.Write([]byte(<-next))
		return true
	})
	s := startTier(t, nil, b)
	c := s.connect(t)
	c.send(t, requestText("/stream/x", "", ""))
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	ended := s.drain(t, time.Millisecond)
	next <- chunk(secondEvent) + lastChunk
	if a := c.read(t); a.body != firstEvent+secondEvent || a.err != nil {
		t.Errorf("answer %q, %v", a.body, a.err)
	}
	c.expectClosed(t)
	wait(t, ended, "end of the drain")
}

func TestDrainEndsWithinTheGracePeriod(t *testing.T) {
	b := startBackend(t, hold(""))
	s := startTier(t, func(o *Options) { o.Grace = 200 * time.Millisecond }, b)
	c := s.connect(t)
	c.send(t, requestText("/many/x", "", ""))
	wait(t, b.requests, "request")
	began := time.Now()
	wait(t, s.drain(t, time.Millisecond), "end of the drain")
	if elapsed := time.Since(began); elapsed > time.Second {
		t.Errorf("the drain took %v", elapsed)
	}
	c.expectClosed(t)
}

func TestBatchCallsWithoutBatchAPI(t *testing.T) {
	s := startTier(t, nil)
	for _, text := range []string{
		requestText("/batch/x", "", "{}"),
		strings.Replace(requestText("/-/lots/j", "", ""), "POST", "GET", 1),
	} {
		if a := s.ask(t, text); a.StatusCode != 503 {
			t.Errorf("status: got %d, want %d", a.StatusCode, 503)
		}
	}
}
