package chain

import (
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nickelline/internal/pause"
	"nickelline/internal/view"
)

// newFullCluster returns a cluster of three members that are all in the view, with the number 1 committed.
func newFullCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 1)
	for _, m := range c.members {
		c.awaitView(m, ofSize(3))
	}
	return c
}

// inChainOrder returns the members in the order of the chain.
func (c *cluster) inChainOrder() []*member {
	c.t.Helper()
	v := c.members[0].node.View()
	ordered := slices.Clone(c.members)
	slices.SortFunc(ordered, func(a, b *member) int { return v.Index(a.self.Replica) - v.Index(b.self.Replica) })
	return ordered
}

// TestConfirmViewWithoutALostMember checks that ConfirmView works while a member is lost, which stops barriers until
// there is a view without it, and that a minority of the members cannot confirm a view.
func TestConfirmViewWithoutALostMember(t *testing.T) {
	c := newFullCluster(t)
	ordered := c.inChainOrder()
	head, middle, tail := ordered[0], ordered[1], ordered[2]
	if v, err := NewProver(head.reconfigurer).ConfirmView(testContext(t)); err != nil || v.Epoch != head.node.View().Epoch {
		t.Fatalf("confirmed epoch: got %d, %v; want %d", v.Epoch, err, head.node.View().Epoch)
	}
	c.close(tail) // without announce, so that no member learns of the loss
	if _, err := NewProver(head.reconfigurer).ConfirmView(testContext(t)); err != nil {
		t.Errorf("confirmation by two of three members: got error %v, want none", err)
	}
	c.close(middle)
	if v, err := NewProver(head.reconfigurer).ConfirmView(testContext(t)); err == nil {
		t.Errorf("confirmation by one of three members: got epoch %d, want an error", v.Epoch)
	}
}

// TestNoConfirmationAfterNewerViewAccepted checks that a member that has accepted the next view, or knows it, does not
// confirm the one before: the next view may be decided although the head has not received it.
func TestNoConfirmationAfterNewerViewAccepted(t *testing.T) {
	c := newFullCluster(t)
	ordered := c.inChainOrder()
	head := ordered[0]
	old := head.node.View()
	number := view.ProposalNumber{Round: 100, Replica: ordered[1].self.Replica}
	next := view.View{Chain: old.Chain, Epoch: old.Epoch + 1, Members: old.Members[1:]}
	for i, m := range ordered[1:] {
		if _, err := m.reconfigurer.voter.prepare(view.Prepare{Epoch: next.Epoch, Number: number}); err != nil {
			t.Fatal(err)
		}
		if !m.reconfigurer.voter.confirms(old.Epoch) {
			t.Errorf("member %d confirms the view after only a promise: got false, want true", i)
		}
		accepted, err := m.reconfigurer.voter.accept(view.Accept{Epoch: next.Epoch, Number: number, View: next})
		if err != nil || !accepted.Granted {
			t.Fatalf("accept: got %+v, %v; want it granted", accepted, err)
		}
		if m.reconfigurer.voter.confirms(old.Epoch) {
			t.Errorf("member %d confirms the view before the one that it has accepted: got true, want false", i)
		}
	}
	if v, err := NewProver(head.reconfigurer).ConfirmView(testContext(t)); err == nil {
		t.Errorf("confirmation: got epoch %d, want an error, as epoch %d is decided", v.Epoch, next.Epoch)
	}
	ordered[1].node.Install(next)
	c.awaitView(ordered[1], func(v view.View) bool { return v.Epoch >= next.Epoch })
	if ordered[1].reconfigurer.voter.confirms(old.Epoch) {
		t.Error("a member with a newer view confirms the older one: got true, want false")
	}
}

func TestNonMemberConfirmsNothing(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.propose(c.members[0], 1)
	outsider := c.members[3]
	if v, err := NewProver(outsider.reconfigurer).ConfirmView(testContext(t)); err == nil {
		t.Errorf("confirmation by a replica outside of the view: got epoch %d, want an error", v.Epoch)
	}
	if outsider.reconfigurer.voter.confirms(c.members[0].node.View().Epoch) {
		t.Error("a replica outside of the view confirms it: got true, want false")
	}
}

func TestConfirmRoundTrip(t *testing.T) {
	sender := view.Member{Replica: 3, Address: netip.MustParseAddrPort("10.0.0.1:7660")}
	body, err := agreementRequest{chain: 2, sender: sender, confirm: 9}.encode()
	if err != nil {
		t.Fatal(err)
	}
	if q, err := decodeAgreementRequest(body); err != nil || q.confirm != 9 || q.join || q.prepare != nil || q.accept != nil {
		t.Errorf("request: got %+v, %v; want confirm 9 only", q, err)
	}
	for _, confirmed := range []bool{true, false} {
		body, err := agreementResponse{view: view.View{Epoch: 9}, confirmed: confirmed}.encode()
		if err != nil {
			t.Fatal(err)
		}
		if a, err := decodeAgreementResponse(body); err != nil || a.confirmed != confirmed || a.view.Epoch != 9 {
			t.Errorf("response: got %+v, %v; want confirmed %v in view 9", a, err, confirmed)
		}
	}
}

func (m *member) applied() uint64 {
	m.node.mutex.Lock()
	defer m.node.mutex.Unlock()
	return m.machine.total
}

// TestConfirmCurrentWithoutTheTail checks ConfirmCurrent while the tail is lost and no view without it is decided, so
// that barriers cannot return. With nothing in flight the other members are proven to be current; with an entry in flight
// the head is not.
func TestConfirmCurrentWithoutTheTail(t *testing.T) {
	c := newFullCluster(t)
	ordered := c.inChainOrder()
	head, middle, tail := ordered[0], ordered[1], ordered[2]
	for _, m := range ordered {
		c.total(m)
		if err := NewProver(m.reconfigurer).ConfirmCurrent(testContext(t)); err != nil {
			t.Fatal(err)
		}
	}
	c.close(tail)
	for _, m := range []*member{head, middle} {
		if err := NewProver(m.reconfigurer).ConfirmCurrent(testContext(t)); err != nil {
			t.Errorf("confirmation with nothing in flight: got error %v, want none", err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := head.node.Propose(ctx, addCommand(6)); err == nil {
		t.Fatal("propose without the tail: got no error, want one")
	}
	if err := NewProver(head.reconfigurer).ConfirmCurrent(testContext(t)); err == nil && head.applied() < 7 {
		t.Error("confirmation by the head with an entry in flight: got no error, want one")
	}
}

// proofChecker proposes at one member while others prove that they are current, and checks each proof.
type proofChecker struct {
	t            *testing.T
	acknowledged atomic.Uint64 // sum after the last acknowledged command
	proofs       atomic.Uint64 // count of successful proofs
	proved       chan struct{} // signalled with each proof
}

// propose adds one repeatedly until ctx ends, with pauses so that at times nothing is in flight.
func (p *proofChecker) propose(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		if result, err := m.node.Propose(ctx, addCommand(1)); err == nil {
			p.acknowledged.Store(binary.LittleEndian.Uint64(result))
		}
		pause.For(ctx, time.Millisecond)
	}
}

// prove proves repeatedly until ctx ends that a member is current, and checks after each proof that the member has
// applied all that was acknowledged before the proof.
func (p *proofChecker) prove(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		before := p.acknowledged.Load()
		if NewProver(m.reconfigurer).ConfirmCurrent(ctx) != nil {
			continue
		}
		p.proofs.Add(1)
		notify(p.proved)
		if after := m.applied(); after < before {
			p.t.Errorf("applied sum: got %d, want at least %d, which was acknowledged before", after, before)
		}
	}
}

// TestConfirmCurrentLacksNothing checks that a member that is proven to be current has applied all that was acknowledged
// anywhere before the proof began, while entries are committed and members are lost and return.
func TestConfirmCurrentLacksNothing(t *testing.T) {
	const rounds, each = 4, 150 * time.Millisecond
	c := newFullCluster(t)
	checker := &proofChecker{t: t, proved: make(chan struct{}, 1)}
	checker.acknowledged.Store(1)
	for round := range rounds {
		lost := c.members[round%len(c.members)]
		var others []*member
		for _, m := range c.members {
			if m != lost {
				others = append(others, m)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), each)
		var working sync.WaitGroup
		working.Go(func() { checker.propose(ctx, others[0]) })
		for _, m := range others {
			working.Go(func() { checker.prove(ctx, m) })
		}
		select { // the member is closed while the others propose and prove
		case <-checker.proved:
		case <-ctx.Done():
		}
		c.close(lost)
		c.announce()
		working.Wait()
		cancel()
		c.reopen(lost)
		c.announce()
		for _, m := range c.members {
			c.awaitView(m, ofSize(3))
		}
	}
	if got := checker.proofs.Load(); got < rounds {
		t.Errorf("proofs: got %d, want at least %d", got, rounds)
	}
}
