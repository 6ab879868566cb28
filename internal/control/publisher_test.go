package control

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/view"
)

// fakeTopic notes what is published and certified.
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

// fakeChainNode lets barriers pass or fail, and may change its view meanwhile.
type fakeChainNode struct {
	current view.View
	during  func()
	err     error
	// confirms tells that a majority proves what is held to be current; barriers counts the barriers.
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

// ConfirmCurrent fails unless the fixture says otherwise, so that barriers are made.
func (f *fakeChainNode) ConfirmCurrent(context.Context) error {
	if f.confirms {
		return nil
	}
	return errNotReady
}

type distributorFixture struct {
	distributor              *publisher
	node                     *fakeChainNode
	machine                  *Machine
	configuration, placement *fakeTopic
}

func newDistributorFixture() *distributorFixture {
	f := &distributorFixture{
		node:          &fakeChainNode{current: view.View{Epoch: 3, Members: []view.Member{{Replica: 7}, {Replica: 8}}}},
		machine:       NewMachine(),
		configuration: &fakeTopic{},
		placement:     &fakeTopic{},
	}
	f.distributor = &publisher{
		node: f.node, prover: f.node, machine: f.machine, configuration: f.configuration, placement: f.placement, log: zap.NewNop(),
	}
	return f
}

func TestNothingIsCertifiedBeforeTheFirstVersion(t *testing.T) {
	f := newDistributorFixture()
	f.distributor.prove(t.Context())
	if len(f.configuration.published) != 0 || f.configuration.certified != 0 || f.placement.certified != 0 {
		t.Errorf("%+v, %+v", f.configuration, f.placement)
	}
}

func TestCommitsArePublishedOnceAndInOrder(t *testing.T) {
	f := newDistributorFixture()
	expect(t, f.machine, put(0, documentText(3, 10)), Accepted)
	f.distributor.publish()
	f.distributor.publish()
	if len(f.configuration.published) != 1 || f.configuration.certified != 0 {
		t.Errorf("without a proof: %+v", f.configuration)
	}
	f.distributor.prove(t.Context())
	proven := f.configuration.asOf
	if f.configuration.certified != 3 || proven.IsZero() {
		t.Errorf("after a proof: %+v", f.configuration)
	}
	expect(t, f.machine, put(3, documentText(5, 10)), Accepted)
	expect(t, f.machine, &Command{ReplacePlacement: &ReplacePlacement{Table: []byte("table")}}, Accepted)
	f.distributor.publish()
	if f.configuration.certified != 5 || f.configuration.asOf != proven || string(f.configuration.data) != string(f.machine.State().EncodedDocument()) {
		t.Errorf("a newer version is as current as the older one was: %+v", f.configuration)
	}
	if len(f.placement.published) != 1 || f.placement.certified != 1 || string(f.placement.data) != "table" {
		t.Errorf("got %+v", f.placement)
	}
	f.distributor.prove(t.Context())
	if !f.configuration.asOf.After(proven) || len(f.configuration.published) != 2 {
		t.Errorf("got %+v", f.configuration)
	}
}

func TestFailedBarrierProvesNothing(t *testing.T) {
	f := newDistributorFixture()
	expect(t, f.machine, put(0, documentText(3, 10)), Accepted)
	f.distributor.publish()
	f.node.err = errNotReady
	f.distributor.prove(t.Context())
	if f.configuration.certified != 0 {
		t.Errorf("got %+v", f.configuration)
	}
}

func TestCommitDuringABarrierIsPublishedBeforeItIsCertified(t *testing.T) {
	f := newDistributorFixture()
	f.node.during = func() { expect(t, f.machine, put(0, documentText(3, 10)), Accepted) }
	f.distributor.prove(t.Context())
	if len(f.configuration.published) != 1 || f.configuration.certified != 3 {
		t.Errorf("got %+v", f.configuration)
	}
}

// Where a majority proves that nothing newer was committed, no barrier is made: one would wait for all members.
func TestProofWithoutABarrier(t *testing.T) {
	f := newDistributorFixture()
	expect(t, f.machine, put(0, documentText(3, 10)), Accepted)
	f.node.confirms = true
	f.node.err = errNotReady // of a barrier
	before := time.Now()
	f.distributor.prove(t.Context())
	if f.configuration.certified != 3 || f.configuration.asOf.Before(before) || f.node.barriers > 0 {
		t.Errorf("%+v after %d barriers", f.configuration, f.node.barriers)
	}
	proven := f.configuration.asOf
	f.node.confirms = false
	f.distributor.prove(t.Context())
	if f.configuration.asOf != proven || f.node.barriers != 1 {
		t.Errorf("%+v after %d barriers, of which none passed", f.configuration, f.node.barriers)
	}
}
