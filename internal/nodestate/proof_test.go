package nodestate

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/gossip"
	"nickelline/internal/member"
	"nickelline/internal/peer"
)

// TestConfigurationIsNotProvenByANewerVersion guards against a revoked key being accepted by a node that wakes: the newest version
// arrives with its proof some time before it is compiled, and until then the former version, which still has the key, is in use.
func TestConfigurationIsNotProvenByANewerVersion(t *testing.T) {
	const proofAge = 10 * time.Second
	service := newGossip(t)
	certify := func(sequence uint64, age time.Duration) {
		service.Certify(gossip.Configuration, gossip.Version{Sequence: sequence}, time.Now().Add(-age))
	}
	var state *State
	// Subscribers are called in turn, so that this one is called after the arrival of a version and before state applies it.
	service.Subscribe(gossip.Configuration, func(v gossip.Value) {
		if v.Version.Sequence != 2 {
			return
		}
		certify(2, 0)
		if version := state.Configuration().Version; version != 1 {
			t.Errorf("configuration in use as version 2 arrives: got version %d, want 1", version)
		}
		if age := state.Configuration().ProofAge(); age < proofAge {
			t.Errorf("age of the proof of version 1 as version 2 arrives: got %v, want at least %v", age, proofAge)
		}
	})
	state = New(Options{Node: "n", Zone: "z", Source: service, Log: zap.NewNop()})
	publishConfiguration(service, 1)
	certify(1, proofAge)
	publishConfiguration(service, 2)
	current := state.Configuration()
	if age := current.ProofAge(); current.Version != 2 || age >= proofAge {
		t.Errorf("after version 2 was applied: got version %d with a proof of age %v, want 2 and less than %v", current.Version, age, proofAge)
	}
}

// newGossip returns a service without other members.
func newGossip(t *testing.T) *gossip.Service {
	t.Helper()
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	members := member.NewTable()
	return gossip.New(member.Member{Address: transport.Address()}, func() *member.Table { return members }, transport, time.Hour, zap.NewNop())
}

func publishConfiguration(service *gossip.Service, sequence uint64) {
	document := fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, sequence)
	service.Publish(gossip.Value{Topic: gossip.Configuration, Version: gossip.Version{Sequence: sequence}, Data: []byte(document)})
}
