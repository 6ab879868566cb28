package control

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/view"
)

// fakeTopic records what is published and certified.
type fakeTopic struct {
	published []uint64
	data      []byte
	certified uint64
	asOf      time.Time
}

func (f *fakeTopic) Publish(sequence uint64, data []byte) {
	f.published = append(f.published, sequence)
	f.data = data
}

func (f *fakeTopic) Certify(sequence uint64, asOf time.Time) { f.certified, f.asOf = sequence, asOf }

// fakeChainNode is a node whose barriers return err, after calling during if that is set.
type fakeChainNode struct {
	current view.View
	during  func()
	err     error
	// confirms makes ConfirmCurrent succeed; barriers counts the barriers.
	confirms bool
	barriers int
}

func (f *fakeChainNode) Barrier(context.Context) error {
	f.barriers++
	if f.during != nil {
		f.during()
	}
	return f.err
}

func (f *fakeChainNode) View() view.View { return f.current }

// ConfirmCurrent fails unless confirms is set. After a failure the publisher makes a barrier.
func (f *fakeChainNode) ConfirmCurrent(context.Context) error {
	if f.confirms {
		return nil
	}
	return errNotReady
}

type publisherFixture struct {
	publisher                *publisher
	node                     *fakeChainNode
	machine                  *Machine
	configuration, placement *fakeTopic
}

func newPublisherFixture() *publisherFixture {
	f := &publisherFixture{
		node:          &fakeChainNode{current: view.View{Epoch: 3, Members: []view.Member{{Replica: 7}, {Replica: 8}}}},
		machine:       NewMachine(),
		configuration: &fakeTopic{},
		placement:     &fakeTopic{},
	}
	f.publisher = &publisher{
		node: f.node, prover: f.node, machine: f.machine, configuration: f.configuration, placement: f.placement, log: zap.NewNop(),
	}
	return f
}

func TestNothingIsCertifiedBeforeTheFirstVersion(t *testing.T) {
	f := newPublisherFixture()
	f.publisher.prove(t.Context())
	if len(f.configuration.published) != 0 || f.configuration.certified != 0 || f.placement.certified != 0 {
		t.Errorf("got %+v, %+v; want nothing published or certified", f.configuration, f.placement)
	}
}

func TestCommitsArePublishedOnceAndInOrder(t *testing.T) {
	f := newPublisherFixture()
	applyAndCheck(t, f.machine, put(0, documentText(3, 10)), Accepted)
	f.publisher.publish()
	f.publisher.publish()
	if len(f.configuration.published) != 1 || f.configuration.certified != 0 {
		t.Errorf("without a proof: got %+v, want one version published and none certified", f.configuration)
	}
	f.publisher.prove(t.Context())
	proven := f.configuration.asOf
	if f.configuration.certified != 3 || proven.IsZero() {
		t.Errorf("after a proof: got %+v, want version 3 certified", f.configuration)
	}
	applyAndCheck(t, f.machine, put(3, documentText(5, 10)), Accepted)
	applyAndCheck(t, f.machine, &Command{ReplacePlacement: &ReplacePlacement{Table: []byte("table")}}, Accepted)
	f.publisher.publish()
	if f.configuration.certified != 5 || f.configuration.asOf != proven || string(f.configuration.data) != string(f.machine.State().EncodedDocument()) {
		t.Errorf("newer version: got %+v, want it certified as of the latest proof", f.configuration)
	}
	if len(f.placement.published) != 1 || f.placement.certified != 1 || string(f.placement.data) != "table" {
		t.Errorf("placement: got %+v, want version 1 published once and certified", f.placement)
	}
	f.publisher.prove(t.Context())
	if !f.configuration.asOf.After(proven) || len(f.configuration.published) != 2 {
		t.Errorf("after another proof: got %+v, want it certified as of a later time and no further version published", f.configuration)
	}
}

func TestFailedBarrierProvesNothing(t *testing.T) {
	f := newPublisherFixture()
	applyAndCheck(t, f.machine, put(0, documentText(3, 10)), Accepted)
	f.publisher.publish()
	f.node.err = errNotReady
	f.publisher.prove(t.Context())
	if f.configuration.certified != 0 {
		t.Errorf("after a failed barrier: got %+v, want nothing certified", f.configuration)
	}
}

func TestCommitDuringABarrierIsPublishedBeforeItIsCertified(t *testing.T) {
	f := newPublisherFixture()
	f.node.during = func() { applyAndCheck(t, f.machine, put(0, documentText(3, 10)), Accepted) }
	f.publisher.prove(t.Context())
	if len(f.configuration.published) != 1 || f.configuration.certified != 3 {
		t.Errorf("got %+v, want version 3 published once and certified", f.configuration)
	}
}

// If a majority of the voters proves that nothing newer was committed, no barrier is made, as a barrier would wait for all
// members.
func TestProofWithoutABarrier(t *testing.T) {
	f := newPublisherFixture()
	applyAndCheck(t, f.machine, put(0, documentText(3, 10)), Accepted)
	f.node.confirms = true
	f.node.err = errNotReady // the error of a barrier
	before := time.Now()
	f.publisher.prove(t.Context())
	if f.configuration.certified != 3 || f.configuration.asOf.Before(before) || f.node.barriers > 0 {
		t.Errorf("got %+v after %d barriers, want version 3 certified after none", f.configuration, f.node.barriers)
	}
	proven := f.configuration.asOf
	f.node.confirms = false
	f.publisher.prove(t.Context())
	if f.configuration.asOf != proven || f.node.barriers != 1 {
		t.Errorf("got %+v after %d barriers, want nothing certified after 1 that failed", f.configuration, f.node.barriers)
	}
}
