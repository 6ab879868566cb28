package view

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// consensusTrial runs proposers of different views against the same acceptors. Messages are lost and reordered, and
// acceptors restart from the state on their disk.
type consensusTrial struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	addresses []netip.AddrPort
	acceptors map[netip.AddrPort]*Acceptor
	proposers []*Proposer
	pending   []func()
	rounds    []uint64
	decided   *View
}

const trialSteps = 400

func TestOnlyOneViewIsDecided(t *testing.T) {
	decided := 0
	for seed := range uint64(500) {
		trial := newTrial(t, seed)
		trial.run()
		if trial.decided != nil {
			decided++
		}
	}
	if decided < 400 {
		t.Fatalf("got %d of 500 trials that decided a view, want at least 400", decided)
	}
}

func newTrial(t *testing.T, seed uint64) *consensusTrial {
	trial := &consensusTrial{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 7)),
		acceptors: make(map[netip.AddrPort]*Acceptor),
		proposers: make([]*Proposer, 3),
		rounds:    make([]uint64, 3),
	}
	for i := range 3 + 2*trial.random.IntN(2) {
		address := testMember(i + 1).Address
		trial.addresses = append(trial.addresses, address)
		trial.acceptors[address] = NewAcceptor(AcceptorState{})
	}
	return trial
}

func (trial *consensusTrial) run() {
	for range trialSteps {
		trial.now += time.Millisecond
		switch choice := trial.random.IntN(20); {
		case choice == 0:
			trial.propose(trial.random.IntN(len(trial.proposers)))
		case choice == 1:
			trial.restart(trial.addresses[trial.random.IntN(len(trial.addresses))])
		case len(trial.pending) > 0:
			trial.deliver()
		}
		for i, proposer := range trial.proposers {
			if proposer != nil {
				proposer.Tick(trial.now)
				trial.advance(i, proposer)
			}
		}
	}
}

// restart replaces an acceptor by one that continues from the state on its disk.
func (trial *consensusTrial) restart(address netip.AddrPort) {
	data, err := EncodeAcceptorState(trial.acceptors[address].State(), trial.addresses)
	if err != nil {
		trial.t.Fatal(err)
	}
	state, _, err := DecodeAcceptorState(data)
	if err != nil {
		trial.t.Fatal(err)
	}
	trial.acceptors[address] = NewAcceptor(state)
}

// deliver takes one of the messages in flight at random and delivers it, or loses it with a probability of 1 in 10.
func (trial *consensusTrial) deliver() {
	i := trial.random.IntN(len(trial.pending))
	message := trial.pending[i]
	trial.pending[i] = trial.pending[len(trial.pending)-1]
	trial.pending = trial.pending[:len(trial.pending)-1]
	if trial.random.IntN(10) != 0 {
		message()
	}
}

func (trial *consensusTrial) propose(i int) {
	trial.rounds[i]++
	own := View{Epoch: 5, Members: []Member{testMember(i + 1)}}
	proposer := NewProposer(ProposerOptions{
		Epoch:          5,
		Number:         ProposalNumber{Round: trial.rounds[i], Replica: ReplicaID(i + 1)},
		Acceptors:      trial.addresses,
		Awaited:        trial.addresses,
		PromiseTimeout: 5 * time.Millisecond,
		Choose:         func([]Promise) (View, bool) { return own, true },
	})
	trial.proposers[i] = proposer
	prepare := proposer.Prepare()
	for _, address := range trial.addresses {
		trial.pending = append(trial.pending, func() {
			promise := trial.acceptors[address].Prepare(prepare)
			trial.pending = append(trial.pending, func() { proposer.HandlePromise(trial.now, address, promise) })
		})
	}
}

func (trial *consensusTrial) advance(i int, proposer *Proposer) {
	if accept, ok := proposer.TakeAccept(); ok {
		for _, address := range trial.addresses {
			trial.pending = append(trial.pending, func() {
				accepted := trial.acceptors[address].Accept(accept)
				trial.pending = append(trial.pending, func() { proposer.HandleAccepted(address, accepted) })
			})
		}
	}
	if refused, over := proposer.Abandoned(); over {
		trial.rounds[i] = max(trial.rounds[i], refused.Round)
		trial.proposers[i] = nil
	}
	v, ok := proposer.Decided()
	if !ok {
		return
	}
	if trial.decided != nil && !trial.decided.Equal(v) {
		trial.t.Fatalf("got two decided views: %v and %v", *trial.decided, v)
	}
	trial.decided = &v
}
