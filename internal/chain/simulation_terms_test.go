package chain

import (
	"testing"
	"time"

	"nickelline/internal/view"
)

// termHistories is the number of histories of TestTermsEndWithTheHead.
const termHistories = 40

// termProposal is a command that a head proposed in its term.
type termProposal struct {
	replica view.ReplicaID
	term    uint64
}

// proposeInTerm has the replica at a site propose a command in a term that was read some time before, like a service that
// acts on what it has read as head. It records the proposal for checkTerms.
func (s *simulation) proposeInTerm(at *site, term uint64, proposed map[uint64]termProposal) {
	if !s.network.Up(at.address) || s.network.Frozen(at.address) || term == 0 {
		return
	}
	o := s.begin(&operation{at: at, value: s.lastID + 1000, expected: s.guessVersion()})
	proposed[o.id] = termProposal{replica: at.self.Replica, term: term}
	at.proposeBy(func(now time.Duration, id uint64) { at.replica.ProposeInTerm(now, id, term, commandOf(o)) }, func(result writeResult) {
		if result.refused {
			o.dropped = true
			s.refused[o.id] = true
			return
		}
		o.ok, o.version, o.result = result.ok, result.version, result.value
		s.finish(o)
	})
}

// checkTerms checks that each committed command that was proposed in a term was appended while that term lasted: no other
// replica is head of any view from the first of the term to the one in which the command was appended. It returns the
// number of these commands.
func (s *simulation) checkTerms(proposed map[uint64]termProposal) (committed int) {
	s.t.Helper()
	for _, entry := range s.committed {
		proposal, inTerm := proposed[entry.id]
		if !inTerm {
			continue
		}
		committed++
		for epoch := proposal.term; epoch <= entry.epoch; epoch++ {
			v, known := s.views[epoch]
			head, _ := v.Head()
			if known && head.Replica != proposal.replica {
				s.fatalf("command %d of term %d was appended in epoch %d, but %d has another head", entry.id, proposal.term, entry.epoch, epoch)
			}
		}
	}
	return committed
}

// TestTermsEndWithTheHead has heads propose in terms that may be over when they propose, and checks that commands are
// appended only while their term lasts.
func TestTermsEndWithTheHead(t *testing.T) {
	committed, refused := 0, 0
	histories := environment(t, historiesVariable, termHistories)
	firstSeed := environment(t, seedVariable, 1)
	for i := range histories {
		s := newSimulation(t, uint64(firstSeed+i))
		proposed := map[uint64]termProposal{}
		for range defaultOperationGroups {
			at := time.Duration(s.random.Int64N(int64(s.duration)))
			delay := time.Duration(s.random.Int64N(int64(2 * time.Second)))
			s.network.At(at, func() {
				for _, site := range s.sites {
					if site.replica == nil {
						continue
					}
					term := site.replica.HeadTerm()
					replica := site.self.Replica
					s.network.At(s.network.Now()+delay, func() {
						if site.self.Replica == replica {
							s.proposeInTerm(site, term, proposed)
						}
					})
				}
			})
		}
		s.run()
		committed += s.checkTerms(proposed)
		for id := range proposed {
			if s.refused[id] {
				refused++
			}
		}
	}
	if committed == 0 || refused == 0 {
		t.Errorf("proposals in a term: got %d committed and %d refused, want some of both", committed, refused)
	}
}

// TestMissedViewEndsTheTerm checks that a head that has missed a view does not continue the term before it, as another
// replica may have been head in that view.
func TestMissedViewEndsTheTerm(t *testing.T) {
	own := view.Member{Replica: 1, Joined: 1}
	other := view.Member{Replica: 2, Joined: 1}
	ownHead := func(epoch uint64) view.View { return view.View{Epoch: epoch, Members: []view.Member{own, other}} }
	otherHead := func(epoch uint64) view.View { return view.View{Epoch: epoch, Members: []view.Member{other, own}} }
	for _, test := range []struct {
		name  string
		views []view.View
		want  uint64
	}{
		{"no view", nil, 0},
		{"first view", []view.View{ownHead(1)}, 1},
		{"head of the next view too", []view.View{ownHead(1), ownHead(2)}, 1},
		{"another head", []view.View{ownHead(1), otherHead(2)}, 0},
		{"head again", []view.View{ownHead(1), otherHead(2), ownHead(3)}, 3},
		{"a view missed", []view.View{ownHead(1), ownHead(3)}, 3},
	} {
		r := newTestReplica(own)
		for _, v := range test.views {
			r.Install(v)
			finishDisk(r)
		}
		if got := r.HeadTerm(); got != test.want {
			t.Errorf("%s: term: got %d, want %d", test.name, got, test.want)
		}
	}
}

// TestWaitingCommandEndsWithItsTerm checks that commands that wait for the chain to be connected are rejected when the
// term in which they were proposed ends, and are not appended by the same replica as head of a later term.
func TestWaitingCommandEndsWithItsTerm(t *testing.T) {
	own := view.Member{Replica: 1, Joined: 1}
	other := view.Member{Replica: 2, Joined: 1}
	r := newTestReplica(own)
	r.Install(view.View{Epoch: 1, Members: []view.Member{own, other}})
	finishDisk(r)
	r.ProposeInTerm(0, 7, 1, []byte("a"))
	if got := len(r.Output().Rejected); got != 0 {
		t.Fatalf("rejected in its term: got %d proposals, want 0", got)
	}
	r.Install(view.View{Epoch: 3, Members: []view.Member{own, other}})
	if got := finishDisk(r).Rejected; len(got) != 1 || got[0] != (Rejected{Proposal: 7}) {
		t.Errorf("rejected after its term: got %v, want proposal 7 as not appended", got)
	}
	r.ProposeInTerm(0, 8, 1, []byte("b"))
	if got := r.Output().Rejected; len(got) != 1 || got[0] != (Rejected{Proposal: 8}) {
		t.Errorf("rejected of a former term: got %v, want proposal 8", got)
	}
}

func newTestReplica(self view.Member) *Replica {
	r := NewReplica(0, self, 1, Recovered{})
	finishDisk(r)
	return r
}

// finishDisk completes all disk operations that a replica asks for, and returns its last output, with the rejections of
// all its outputs.
func finishDisk(r *Replica) Output {
	out := r.Output()
	for len(out.Disk) > 0 {
		last := out.Disk[len(out.Disk)-1]
		rejected := out.Rejected
		r.DiskDone(0, last.ID)
		out = r.Output()
		out.Rejected = append(rejected, out.Rejected...)
	}
	return out
}
