package control

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/view"
)

// fakeConfirmer confirms the view of a fake node, unless it is told to fail. The view may change before the answer comes.
type fakeConfirmer struct {
	node  *fakeChainNode
	err   error
	after func()
	asked int
}

func (f *fakeConfirmer) ConfirmView(context.Context) (view.View, error) {
	f.asked++
	confirmed := f.node.current
	if f.after != nil {
		f.after()
	}
	return confirmed, f.err
}

func newHeadshipFixture() (*HeadStatus, *fakeChainNode, *fakeConfirmer) {
	node := newDistributorFixture().node
	confirmer := &fakeConfirmer{node: node}
	h := &HeadStatus{node: node, prover: confirmer, self: 7, proofLifetime: time.Hour, log: zap.NewNop()}
	return h, node, confirmer
}

func TestHeadshipIsOfItsEpoch(t *testing.T) {
	h, node, confirmer := newHeadshipFixture()
	if h.Fresh() {
		t.Error("headship without a proof")
	}
	h.prove(t.Context())
	if !h.Fresh() || h.Epoch() != 3 {
		t.Error("a confirmed view proves no headship")
	}
	node.current.Epoch = 4
	if h.Fresh() {
		t.Error("a proof holds in its epoch only")
	}
	confirmer.after = func() { node.current.Epoch = 5 }
	h.prove(t.Context())
	if h.Fresh() {
		t.Error("a view that was replaced meanwhile proves headship")
	}
}

func TestOnlyTheHeadAsksForProofs(t *testing.T) {
	h, node, confirmer := newHeadshipFixture()
	node.current.Members = []view.Member{{Replica: 8, Address: netip.MustParseAddrPort("10.0.0.8:1")}, {Replica: 7}}
	h.prove(t.Context())
	node.current.Members = nil
	h.prove(t.Context())
	if h.Fresh() || confirmer.asked > 0 {
		t.Errorf("fresh: %v, asked %d times", h.Fresh(), confirmer.asked)
	}
	node.current.Members = []view.Member{{Replica: 8, Address: netip.MustParseAddrPort("10.0.0.8:1")}}
	if head, ok := h.Head(); !ok || head.Port() != 1 {
		t.Errorf("head %v", head)
	}
}

// An attempt that fails proves nothing, and takes nothing from the proof before it.
func TestFailedProofOfHeadship(t *testing.T) {
	h, _, confirmer := newHeadshipFixture()
	confirmer.err = errNotReady
	h.prove(t.Context())
	if h.Fresh() {
		t.Error("a view that was not confirmed proves headship")
	}
	confirmer.err = nil
	h.prove(t.Context())
	confirmer.err = errNotReady
	h.prove(t.Context())
	if !h.Fresh() {
		t.Error("the proof before was lost")
	}
}

// A proof counts from before the members were asked.
func TestHeadshipGrowsOld(t *testing.T) {
	h, _, confirmer := newHeadshipFixture()
	var answered time.Time
	confirmer.after = func() { answered = time.Now() }
	h.prove(t.Context())
	if h.provenAt.After(answered) {
		t.Error("the proof is younger than the answers")
	}
	h.proofLifetime = 0
	if h.Fresh() {
		t.Error("an old proof is fresh")
	}
}
