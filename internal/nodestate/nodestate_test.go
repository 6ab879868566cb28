package nodestate

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/discovery"
	"nickelline/internal/gossip"
	"nickelline/internal/placement"
)

// fakeSource holds the functions that a State has subscribed, by topic.
type fakeSource map[gossip.Topic]func(gossip.Value)

func (f fakeSource) Subscribe(topic gossip.Topic, notify func(gossip.Value)) { f[topic] = notify }

func (f fakeSource) ProofAge(gossip.Topic, gossip.Version) time.Duration { return 0 }

// Functions registered with OnBackends and OnPlacement may call Pool and Pools: a call made while the lock of the pools
// is held would deadlock.
func TestNotifiedMayAskForPools(t *testing.T) {
	source := fakeSource{}
	state := New(Options{Node: "n", Zone: "z", Source: source, Log: zap.NewNop()})
	var pools []*admission.Pool
	state.OnBackends(func(*discovery.List) { pools = append(pools, state.Pool("writers")) })
	state.OnPlacement(func(*placement.Table) { pools = append(pools, state.Pools()["writers"]) })
	list, err := discovery.Encode(discovery.NewList(nil))
	if err != nil {
		t.Fatal(err)
	}
	table, err := placement.Encode(placement.Table{})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		source[gossip.Backends](gossip.Value{Data: list})
		source[gossip.Placement](gossip.Value{Data: table})
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("notifications that call Pool and Pools: got a deadlock, want them to return")
	}
	if len(pools) != 2 || pools[0] == nil || pools[0] != pools[1] {
		t.Errorf("pools in notifications: got %v, want the same one twice", pools)
	}
}

// TestUnreadableVersionIsCountedAndIgnored checks that a process keeps its configuration if it cannot read a newer one, and tells so.
func TestUnreadableVersionIsCountedAndIgnored(t *testing.T) {
	source := fakeSource{}
	state := New(Options{Node: "n", Zone: "z", Source: source, Log: zap.NewNop()})
	for _, text := range []string{
		`{"version":1,"routes":[],"services":[]}`, `{"version":[{"name":"2"}],"routes":[],"services":[]}`, `{"version":3,"routes":[]}`,
	} {
		source[gossip.Configuration](gossip.Value{Topic: gossip.Configuration, Data: []byte(text)})
	}
	if got := state.Configuration().Version; got != 1 {
		t.Errorf("version in use: got %d, want 1", got)
	}
	if got := state.UnreadableVersions(); got != 2 {
		t.Errorf("unreadable versions: got %d, want 2", got)
	}
}
