package main

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/gossip"
	"nickelline/internal/nodestate"
	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// fakeSource is a source of gossip whose values come from the test.
type fakeSource struct {
	subscribers map[gossip.Topic]func(gossip.Value)
}

func (s *fakeSource) Subscribe(topic gossip.Topic, notify func(gossip.Value)) {
	s.subscribers[topic] = notify
}

func (s *fakeSource) ProofAge(gossip.Topic, gossip.Version) time.Duration { return 0 }

func (s *fakeSource) place(t *testing.T, version uint64, members ...view.ReplicaID) {
	t.Helper()
	v := view.View{Chain: placement.ChainOf(0), Epoch: version}
	for _, replica := range members {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(replica)}), 1)
		v.Members = append(v.Members, view.Member{Replica: replica, Address: address})
	}
	data, err := placement.Encode(placement.Table{Version: version, Partitions: []placement.Partition{{View: v}}})
	if err != nil {
		t.Fatal(err)
	}
	s.subscribers[gossip.Placement](gossip.Value{Topic: gossip.Placement, Data: data})
}

func newFakeState() (*fakeSource, *nodestate.State) {
	source := &fakeSource{subscribers: map[gossip.Topic]func(gossip.Value){}}
	return source, nodestate.New(nodestate.Options{Source: source, Log: zap.NewNop()})
}

// A terminating store waits until no partition's view contains it any longer.
func TestStoppingStoreWaitsForRemovalFromViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, state := newFakeState()
		source.place(t, 1, 7, 8)
		done := make(chan struct{})
		began := time.Now()
		go func() {
			defer close(done)
			awaitRemovalFromViews(state, 7, time.Minute)
		}()
		synctest.Wait()
		select {
		case <-done:
			t.Fatal("got an end of the wait while a view contains the replica, want none")
		default:
		}
		source.place(t, 2, 8)
		<-done
		if time.Since(began) >= time.Minute {
			t.Error("waited for the whole limit after the replica had left the views")
		}
	})
}

func TestStoppingStoreWaitsForALimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, state := newFakeState()
		source.place(t, 1, 7, 8)
		began := time.Now()
		awaitRemovalFromViews(state, 7, time.Minute)
		if waited := time.Since(began); waited != time.Minute {
			t.Errorf("waited for %v, want %v", waited, time.Minute)
		}
	})
}

// A store must not run items before it has a configuration, also where the proof of the configuration is not checked.
func TestNoConfigurationIsNotProven(t *testing.T) {
	state := nodestate.New(nodestate.Options{Node: "n", Zone: "z", Source: &fakeSource{subscribers: map[gossip.Topic]func(gossip.Value){}}, Log: zap.NewNop()})
	for _, maxAge := range []time.Duration{0, time.Second} {
		if current, proven := provenConfiguration(state, maxAge)(); current != nil || proven {
			t.Errorf("before the first configuration, with maximum age %v: got %v, proven %v, want nil, not proven", maxAge, current, proven)
		}
	}
}
