package control

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"nickelline/internal/operator"
)

func TestControlSystem(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	s.expectVersion(2, 3)
	s.put(1, 3, 5)
	for node := range s.nodes {
		s.expectVersion(node, 5)
		s.nodes[node].topic.wait(t, 5)
	}
	if version, err := s.operator(2).Put(t.Context(), 0, []byte(documentText(3, 3))); err != nil || version != 5 {
		t.Errorf("repeat an accepted change: got version %d, %v; want 5", version, err)
	}
	if _, err := s.operator(2).Put(t.Context(), 3, []byte(documentText(7, 9))); err == nil || !strings.Contains(err.Error(), "412") {
		t.Errorf("change an old version: got %v, want status 412", err)
	}
}

func TestControlSystemToleratesTheLossOfAnyNode(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	version := uint64(0)
	for _, end := range []func(int){s.stop, s.kill} {
		s.put(0, version, version+1)
		head := s.headNode()
		end(head)
		other := (head + 1) % testNodeCount
		s.put(other, version+1, version+2)
		s.expectVersion((head+2)%testNodeCount, version+2)
		s.start(head, false)
		s.expectVersion(head, version+2)
		s.waitForFullView(head)
		version += 2
		s.put(head, version, version+1)
		version++
	}
}

func TestControlSystemRestartsFromDisk(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	s.stopAll()
	s.startAll(false)
	for node := range s.nodes {
		s.expectVersion(node, 3)
	}
	s.put(2, 3, 4)
}

func TestNodeWithoutDiskRedirectsTheOperator(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	listener, err := listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	other := func() (netip.AddrPort, bool) { return netip.AddrPortFrom(nodeAddress(1), s.operatorPort), true }
	a := newAPI(listener, nil, s.nodes[0].control.Status, other)
	go func() { _ = a.run() }()
	defer a.stop()
	client, err := operator.New(operator.Options{Nodes: []string{listener.Addr().String()}, Timeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	if version, err := client.Patch(t.Context(), 3, []byte(patchText(4, 20))); err != nil || version != 4 {
		t.Errorf("got version %d, %v; want 4", version, err)
	}
	s.waitForAllMembers(0)
	status, err := client.Status(t.Context())
	if err != nil || status.Node != "f-1" || len(status.Chain.Replicas) == 0 || len(status.Members) != testNodeCount {
		t.Errorf("got status %+v, %v; want that of f-1 with %d members", status, err, testNodeCount)
	}
	if len(status.Chain.Voters) != testNodeCount {
		t.Errorf("got %d voters, want %d", len(status.Chain.Voters), testNodeCount)
	}
}

// newAPI gets an open listener. A server that is stopped without having run must close it too.
func TestStoppedServerThatNeverRanClosesItsListener(t *testing.T) {
	listener, err := listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	a := newAPI(listener, nil, nil, nil)
	a.stop()
	again, err := listen(t.Context(), netip.MustParseAddrPort(listener.Addr().String()))
	if err != nil {
		t.Fatalf("listen at the address of the stopped server: %v", err)
	}
	if err := again.Close(); err != nil {
		t.Error(err)
	}
}

// TestServerIsStoppedWhileItStarts guards against a process that panics when it is terminated right after its start.
func TestServerIsStoppedWhileItStarts(t *testing.T) {
	for yields := range 400 {
		listener, err := listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			t.Fatal(err)
		}
		a := newAPI(listener, nil, nil, nil)
		ended := make(chan error, 1)
		go func() { ended <- a.run() }()
		for range yields {
			runtime.Gosched()
		}
		a.stop()
		if err := <-ended; !isServerClosed(err) {
			t.Fatalf("run: got %v, want the error of a stopped server or none", err)
		}
		if err := listener.Close(); err == nil {
			t.Fatal("listener after stop: got an open one, want it closed")
		}
	}
}

// A configuration of one megabyte is sent to a node that is not the head.
func TestLargeChangeOverTheChain(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 3)
	other := (s.headNode() + 1) % testNodeCount
	padding := strings.Repeat("x", 1<<20)
	body := fmt.Sprintf(`%s,"padding":%q}`, strings.TrimSuffix(documentText(5, 5), "}"), padding)
	if version, err := s.operator(other).Put(t.Context(), 3, []byte(body)); err != nil || version != 5 {
		t.Fatalf("got version %d, %v; want 5", version, err)
	}
	for node := range s.nodes {
		read, err := s.operator(node).Configuration(t.Context())
		if err != nil || !strings.Contains(string(read), padding) {
			t.Fatalf("node %d: got %d bytes, %v; want them to contain the padding", node, len(read), err)
		}
	}
	s.stopAll()
	s.startAll(false)
	s.expectVersion(other, 5)
}

// Several operators change the configuration at the same time through different nodes. Exactly one of the changes that build on a
// version is accepted, and the others are refused with status 412.
func TestConcurrentOperators(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	s.put(0, 0, 1)
	for version := uint64(1); version < 6; version++ {
		results := make(chan error, testNodeCount)
		for node := range testNodeCount {
			go func() {
				_, err := s.operator(node).Put(t.Context(), version, []byte(documentText(version+1, 100+node)))
				results <- err
			}()
		}
		won := 0
		for range testNodeCount {
			err := <-results
			var refused *operator.RefusedError
			switch {
			case err == nil:
				won++
			case !errors.As(err, &refused) || refused.Status != http.StatusPreconditionFailed:
				t.Errorf("got error %v, want status 412", err)
			}
		}
		if won != 1 {
			t.Fatalf("version %d: got %d of %d changes accepted, want 1", version, won, testNodeCount)
		}
	}
}
