package peer

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"
)

func TestIdleConnectionsAreClosed(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(testKind, echo)
	release := make(chan struct{})
	entered := make(chan struct{})
	b.Handle(otherKind, func(_ context.Context, _ netip.AddrPort, m Message) (Message, error) {
		close(entered)
		<-release
		return m, nil
	})
	a.Start()
	b.Start()
	call := func() error {
		_, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	first := a.connection(b.Address())

	slow := make(chan error)
	go func() {
		_, err := a.Call(testContext(t), b.Address(), Message{Kind: otherKind})
		slow <- err
	}()
	<-entered
	for range 2 * idleChecksToRetire {
		a.checkIdleOnce()
		b.checkIdleOnce()
	}
	if a.connection(b.Address()) != first {
		t.Fatal("connection with a pending call: got it retired, want it kept")
	}
	close(release)
	if err := <-slow; err != nil {
		t.Fatal(err)
	}

	for range idleChecksToRetire + 1 {
		a.checkIdleOnce()
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	if a.connection(b.Address()) == first {
		t.Error("idle connection: got it used again, want a new connection")
	}
}

func TestCallsGoOnWhileConnectionsAreRetired(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(testKind, echo)
	a.Start()
	b.Start()
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			for range 200 {
				if _, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for range 50 {
		if c := a.connection(b.Address()); c != nil {
			c.retire()
		}
	}
	calls.Wait()
}

// Each connection is retired as soon as it exists. A call must not fail when it meets more than maxSendAttempts retired
// connections in a row. On a busy machine the many new connections may each take longer to open than a dial may otherwise last.
func TestCallOutlivesManyRetirements(t *testing.T) {
	a, b := listen(t), listen(t)
	a.dialAttemptTimeouts = []time.Duration{testTimeout}
	a.dialer.Timeout = testTimeout
	b.Handle(testKind, echo)
	a.Start()
	b.Start()
	ended, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for range 5000 {
			select {
			case <-ended:
				return
			default:
				a.connection(b.Address()).retire()
			}
		}
	}()
	for range 100 {
		if _, err := a.Call(testContext(t), b.Address(), Message{Kind: testKind}); err != nil {
			t.Error(err)
		}
	}
	close(ended)
	<-stopped
}
