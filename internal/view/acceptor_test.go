package view

import "testing"

// Within an epoch, an acceptor refuses numbers below its promise. A later epoch starts without promises.
func TestAcceptorKeepsItsPromiseWithinAnEpoch(t *testing.T) {
	acceptor := NewAcceptor(AcceptorState{})
	low, high := ProposalNumber{Round: 1, Replica: 9}, ProposalNumber{Round: 2, Replica: 1}
	if promise := acceptor.Prepare(Prepare{Epoch: 3, Number: high}); !promise.Granted || !promise.Votes {
		t.Fatalf("first Prepare: got %+v, want a granted vote", promise)
	}
	if promise := acceptor.Prepare(Prepare{Epoch: 3, Number: low}); promise.Granted || promise.Promised != high {
		t.Fatalf("Prepare with a lower number: got %+v, want a refusal that names the promised number", promise)
	}
	if got := acceptor.Accept(Accept{Epoch: 3, Number: low, View: testView()}); got.Granted {
		t.Fatal("Accept with a lower number: got it granted")
	}
	if got := acceptor.Accept(Accept{Epoch: 3, Number: high, View: testView()}); !got.Granted {
		t.Fatal("Accept with the promised number: got it refused")
	}
	if promise := acceptor.Prepare(Prepare{Epoch: 2, Number: ProposalNumber{Round: 9}}); promise.Votes {
		t.Fatal("Prepare for an earlier epoch: got a vote")
	}
	if promise := acceptor.Prepare(Prepare{Epoch: 4, Number: low}); !promise.Granted || promise.Accepted != nil {
		t.Fatalf("Prepare for the next epoch: got %+v, want it granted without an accepted proposal", promise)
	}
}
