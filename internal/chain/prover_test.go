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

// newWholeCluster makes a cluster of three that are all in the view and have committed the number 1.
func newWholeCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 3, 3)
	c.propose(c.members[0], 1)
	for _, m := range c.members {
		c.awaitView(m, ofSize(3))
	}
	return c
}

// byRank returns the members in the order of the chain.
func (c *cluster) byRank() []*member {
	c.t.Helper()
	v := c.members[0].node.View()
	ordered := slices.Clone(c.members)
	slices.SortFunc(ordered, func(a, b *member) int { return v.Index(a.self.Replica) - v.Index(b.self.Replica) })
	return ordered
}

// A lost member stops barriers until there is a view without it, but not the proof that no newer view has been decided. Of a
// minority it cannot be had.
func TestConfirmViewWithoutALostMember(t *testing.T) {
	c := newWholeCluster(t)
	ordered := c.byRank()
	head, middle, tail := ordered[0], ordered[1], ordered[2]
	if v, err := NewProver(head.reconfigurer).ConfirmView(testContext(t)); err != nil || v.Epoch != head.node.View().Epoch {
		t.Fatalf("confirmed epoch: got %d, %v; want %d", v.Epoch, err, head.node.View().Epoch)
	}
	c.close(tail) // no member is notified of it
	if _, err := NewProver(head.reconfigurer).ConfirmView(testContext(t)); err != nil {
		t.Errorf("confirmation by two of three members: got error %v, want none", err)
	}
	c.close(middle)
	if v, err := NewProver(head.reconfigurer).ConfirmView(testContext(t)); err == nil {
		t.Errorf("confirmation by one of three members: got epoch %d, want an error", v.Epoch)
	}
}

// A member that has accepted the next view, or knows it, does not confirm the one before it: the next one may be decided
// though the head has not received it.
func TestNoConfirmationAfterNewerViewAccepted(t *testing.T) {
	c := newWholeCluster(t)
	ordered := c.byRank()
	head := ordered[0]
	old := head.node.View()
	number := view.ProposalNumber{Round: 100, Replica: ordered[1].self.Replica}
	next := view.View{Chain: old.Chain, Epoch: old.Epoch + 1, Members: old.Members[1:]}
	for i, m := range ordered[1:] {
		if _, err := m.reconfigurer.voter.prepare(view.Prepare{Epoch: next.Epoch, Number: number}); err != nil {
			t.Fatal(err)
		}
		if !m.reconfigurer.voter.confirms(old.Epoch) {
			t.Errorf("member %d does not confirm the view after a promise alone", i)
		}
		accepted, err := m.reconfigurer.voter.accept(view.Accept{Epoch: next.Epoch, Number: number, View: next})
		if err != nil || !accepted.Granted {
			t.Fatalf("accept: got %+v, %v; want it granted", accepted, err)
		}
		if m.reconfigurer.voter.confirms(old.Epoch) {
			t.Errorf("member %d confirms the view before the one that it has accepted", i)
		}
	}
	if v, err := NewProver(head.reconfigurer).ConfirmView(testContext(t)); err == nil {
		t.Errorf("confirmation: got epoch %d, want an error, as epoch %d is decided", v.Epoch, next.Epoch)
	}
	ordered[1].node.Install(next)
	c.awaitView(ordered[1], func(v view.View) bool { return v.Epoch >= next.Epoch })
	if ordered[1].reconfigurer.voter.confirms(old.Epoch) {
		t.Error("a member with a newer view confirms the older one")
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
		t.Error("a replica outside of the view has a vote")
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

// While the tail is gone and no view without it is agreed, barriers stand still; where nothing is under way each other member
// is still proven to be current. With an entry under way none is.
func TestConfirmCurrentWithoutTheTail(t *testing.T) {
	c := newWholeCluster(t)
	ordered := c.byRank()
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
			t.Errorf("confirmation with nothing under way: got error %v, want none", err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := head.node.Propose(ctx, number(6)); err == nil {
		t.Fatal("an entry is committed without the tail")
	}
	if err := NewProver(head.reconfigurer).ConfirmCurrent(testContext(t)); err == nil && head.applied() < 7 {
		t.Error("the head is proven to be current with an entry under way")
	}
}

// proofChecker proposes at one member while others prove that they are current, and checks each proof.
type proofChecker struct {
	t            *testing.T
	acknowledged atomic.Uint64 // sum after the last acknowledged command
	proofs       atomic.Uint64
	proved       chan struct{} // signalled with each proof
}

// propose adds one again and again until ctx ends, with pauses so that nothing is under way now and then.
func (p *proofChecker) propose(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		if result, err := m.node.Propose(ctx, number(1)); err == nil {
			p.acknowledged.Store(binary.LittleEndian.Uint64(result))
		}
		pause.For(ctx, time.Millisecond)
	}
}

// prove proves again and again until ctx ends that a member is current, and checks that it then lacks nothing.
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

// Whoever is proven to be current has applied all that was acknowledged anywhere before the proof began, while entries are
// committed, members are lost and come back.
func TestConfirmCurrentLacksNothing(t *testing.T) {
	const rounds, each = 4, 150 * time.Millisecond
	c := newWholeCluster(t)
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
		select { // the member is lost while the others are at work
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
