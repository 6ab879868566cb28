package control

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/view"
)

// fakeProver confirms the view of a fake node, or returns err. after is called between the reading of the view and the return of
// ConfirmView.
type fakeProver struct {
	node  *fakeChainNode
	err   error
	after func()
	calls int
}

func (f *fakeProver) ConfirmView(context.Context) (view.View, error) {
	f.calls++
	confirmed := f.node.current
	if f.after != nil {
		f.after()
	}
	return confirmed, f.err
}

func newHeadStatusFixture() (*HeadStatus, *fakeChainNode, *fakeProver) {
	node := newPublisherFixture().node
	prover := &fakeProver{node: node}
	h := &HeadStatus{node: node, prover: prover, self: 7, proofLifetime: time.Hour, log: zap.NewNop()}
	return h, node, prover
}

func TestHeadProofCountsInItsEpochOnly(t *testing.T) {
	h, node, prover := newHeadStatusFixture()
	if h.Fresh() {
		t.Error("before a proof: got a fresh status")
	}
	h.prove(t.Context())
	if !h.Fresh() || h.Epoch() != 3 {
		t.Error("after a proof: got no fresh status")
	}
	node.current.Epoch = 4
	if h.Fresh() {
		t.Error("in the next epoch: got a fresh status")
	}
	prover.after = func() { node.current.Epoch = 5 }
	h.prove(t.Context())
	if h.Fresh() {
		t.Error("after a proof of a view that was replaced meanwhile: got a fresh status")
	}
}

func TestOnlyTheHeadRequestsProofs(t *testing.T) {
	h, node, prover := newHeadStatusFixture()
	node.current.Members = []view.Member{{Replica: 8, Address: netip.MustParseAddrPort("10.0.0.8:1")}, {Replica: 7}}
	h.prove(t.Context())
	node.current.Members = nil
	h.prove(t.Context())
	if h.Fresh() || prover.calls > 0 {
		t.Errorf("got fresh %v after %d proofs, want false after 0", h.Fresh(), prover.calls)
	}
	node.current.Members = []view.Member{{Replica: 8, Address: netip.MustParseAddrPort("10.0.0.8:1")}}
	if head, ok := h.Head(); !ok || head.Port() != 1 {
		t.Errorf("got head %v, %v; want port 1, true", head, ok)
	}
}

// A failed attempt proves nothing, and leaves the earlier proof valid.
func TestFailedHeadProof(t *testing.T) {
	h, _, prover := newHeadStatusFixture()
	prover.err = errNotReady
	h.prove(t.Context())
	if h.Fresh() {
		t.Error("after a failed proof: got a fresh status")
	}
	prover.err = nil
	h.prove(t.Context())
	prover.err = errNotReady
	h.prove(t.Context())
	if !h.Fresh() {
		t.Error("after a failed proof that follows a successful one: got no fresh status")
	}
}

// The lifetime of a proof begins before the voters are asked.
func TestHeadProofExpires(t *testing.T) {
	h, _, prover := newHeadStatusFixture()
	var answered time.Time
	prover.after = func() { answered = time.Now() }
	h.prove(t.Context())
	if h.provenAt.After(answered) {
		t.Error("got a proof that began after the responses of the voters")
	}
	h.proofLifetime = 0
	if h.Fresh() {
		t.Error("expired proof: got a fresh status")
	}
}
