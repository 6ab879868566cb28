package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"testing"
	"time"

	"nickelline/decide"
)

// actionRig is a loop that carries out the actions of a test, with a backend, a discovery service and a peer for them.
type actionRig struct {
	t         *testing.T
	loop      *loop
	transport *transport
	peer      *net.UDPConn   // the socket of another node
	own       netip.AddrPort // the address of this node for its peers
	seen      chan string    // requests to the backend and to discovery
	stopped   chan struct{}  // closed when the attempt at /order is cancelled
	received  chan string    // messages that this node received
}

func newActionRig(t *testing.T) *actionRig {
	t.Helper()
	rig := &actionRig{t: t, seen: make(chan string, 100), stopped: make(chan struct{}), received: make(chan string, 9)}
	addr := startBackend(t, rig.serveBackend)
	var err error
	if rig.peer, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rig.peer.Close() })
	c := &Config{Settings: testSettings(), KnownBackends: readyBackends(addr), PeerListen: netip.MustParseAddrPort("127.0.0.1:0"),
		Peers: []netip.AddrPort{{}, rig.peer.LocalAddr().(*net.UDPAddr).AddrPort()}}
	c.Settings.MayMessage = true
	c.Discovery = startDiscovery(t, func(_ int, q url.Values) string {
		rig.seen <- "list since " + q.Get("since")
		if q.Get("timeout_ms") == "3000" {
			time.Sleep(50 * time.Millisecond)
		}
		return jsonList(1, !q.Has("since"), "ready", addr)
	})
	rig.run(c)
	return rig
}

// run starts the loop, which the end of the test stops.
func (rig *actionRig) run(c *Config) {
	ctx, cancel := context.WithCancel(rig.t.Context())
	rig.transport = newTransport(c, 10, discardLog)
	p, err := listenPeers(c, discardLog)
	if err != nil {
		cancel()
		rig.t.Fatal(err)
	}
	rig.own = p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	rig.loop = newLoop(ctx, c, rig.transport, newDiscovery(c.Discovery, discardLog), p, discardLog)
	rig.loop.settings.ListOnRequest = true // the loop requests lists only on an action
	var running sync.WaitGroup
	running.Go(func() { rig.loop.run(c.KnownBackends) })
	running.Go(func() { rig.transport.Run(ctx) })
	running.Go(func() { p.write(ctx) })
	running.Go(func() { p.read(func(from int, data []byte) { rig.received <- fmt.Sprint(from, string(data)) }) })
	rig.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// serveBackend answers all requests but those for /order, which wait until the attempt is cancelled.
func (rig *actionRig) serveBackend(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			rig.seen <- "closed"
			return
		}
		rig.seen <- req.URL.Path
		if req.URL.Path == "/order" {
			r.ReadByte() // until the attempt is cancelled
			close(rig.stopped)
			return
		}
		io.WriteString(c, okResponse("inflight=7,queue=2"))
	}
}

// perform has the loop carry out an action.
func (rig *actionRig) perform(a decide.Action) { rig.loop.post(func() { rig.loop.carryOut(a) }) }

// expect waits until the backend or discovery has received the wanted request.
func (rig *actionRig) expect(want string) {
	rig.t.Helper()
	end := time.After(testTimeout)
	for {
		select {
		case got := <-rig.seen:
			if got == want {
				return
			}
		case <-end:
			rig.t.Fatalf("no request %q", want)
		}
	}
}

// TestActions checks every action, including those that the module does not use at present.
func TestActions(t *testing.T) {
	t.Parallel()
	rig := newActionRig(t)
	rig.checkBackendActions()
	rig.checkDiscoveryActions()
	rig.checkMessages()
	rig.checkAttempt()
	rig.checkTimer()
}

func (rig *actionRig) checkBackendActions() {
	rig.t.Helper()
	rig.perform(decide.Probe{Backend: 1})
	rig.expect("/stats")
	for idle := false; !idle; time.Sleep(time.Millisecond) {
		idle = len(rig.transport.Idle(rig.transport.Find(1))) > 0
	}
	rig.perform(decide.CloseIdle{Backend: 1})
	rig.expect("closed")
}

func (rig *actionRig) checkDiscoveryActions() {
	rig.t.Helper()
	rig.perform(decide.FetchList{})
	rig.expect("list since ")
	rig.perform(decide.Subscribe{On: true})
	rig.expect("list since 1")
	rig.expect("list since 1")
	rig.perform(decide.Subscribe{On: false})
}

func (rig *actionRig) checkMessages() {
	rig.t.Helper()
	rig.perform(decide.SendMessage{To: 1, Data: []byte("one")})
	rig.perform(decide.SendMessage{ToAll: true, Data: []byte("all")})
	rig.perform(decide.SendMessage{To: 1, Data: make([]byte, maxDatagram+1)})
	rig.perform(decide.SendMessage{To: 9})
	rig.perform(decide.Log{Line: "line"})
	buf := make([]byte, 999)
	rig.peer.SetReadDeadline(time.Now().Add(testTimeout))
	for _, want := range []string{"one", "all"} {
		if n, _, err := rig.peer.ReadFromUDP(buf); err != nil || string(buf[:n]) != want {
			rig.t.Errorf("datagram: got %q, %v, want %q", buf[:n], err, want)
		}
	}
	rig.peer.WriteToUDPAddrPort(make([]byte, maxDatagram+1), rig.own)
	rig.peer.WriteToUDPAddrPort([]byte("hi"), rig.own)
	if got := receive(rig.t, "a datagram", rig.received); got != "1hi" {
		rig.t.Errorf("received message: got %q, want %q", got, "1hi")
	}
}

func (rig *actionRig) checkAttempt() {
	rig.t.Helper()
	r := &request{arrived: decide.RequestArrived{ID: "q", Class: "order"}, deadline: time.Now().Add(testTimeout), client: rig.t.Context(),
		method: "POST", url: &url.URL{Path: "/order", Host: "h"}, response: make(chan response, 1)}
	rig.loop.post(func() { rig.loop.acceptRequest(r) })
	rig.expect("/order")
	rig.perform(decide.CancelAttempt{ID: "q", Attempt: 0})
	rig.perform(decide.CancelAttempt{ID: "q", Attempt: 7})
	receive(rig.t, "the end of the attempt", rig.stopped)
	if a := receive(rig.t, "the response", r.response); a.status != http.StatusBadGateway {
		rig.t.Errorf("status of a cancelled attempt, which may have run: got %d, want %d", a.status, http.StatusBadGateway)
	}
	rig.perform(decide.Send{ID: "q", Backend: 1}) // the request is over: the outcome is NotSent, and nothing is sent
	rig.perform(decide.Refuse{ID: "q"})
	rig.perform(decide.Fail{ID: "nobody"})
}

func (rig *actionRig) checkTimer() {
	rig.t.Helper()
	fired := make(chan struct{})
	rig.loop.post(func() { rig.loop.carryOut(decide.SetTimer{After: time.Millisecond, Token: 9}); close(fired) })
	receive(rig.t, "the timer's action", fired)
	for empty := false; !empty; time.Sleep(time.Millisecond) {
		done := make(chan bool)
		rig.loop.post(func() {
			left := false
			for _, timer := range rig.loop.timers {
				left = left || timer.token == 9
			}
			done <- !left
		})
		empty = receive(rig.t, "the loop", done)
	}
}
