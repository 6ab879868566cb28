package chain

import (
	"testing"
	"time"

	"nickelline/internal/view"
)

func ring(epoch uint64, replicas ...view.ReplicaID) view.View {
	v := view.View{Epoch: epoch}
	for _, replica := range replicas {
		v.Members = append(v.Members, view.Member{Replica: replica})
	}
	return v
}

func TestRingNeighbours(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []view.ReplicaID
		self    view.ReplicaID
		want    []view.ReplicaID
	}{
		{"alone", []view.ReplicaID{1}, 1, nil},
		{"not a member", []view.ReplicaID{1, 2}, 3, nil},
		{"one other member", []view.ReplicaID{1, 2}, 1, []view.ReplicaID{2}},
		{"head", []view.ReplicaID{1, 2, 3}, 1, []view.ReplicaID{3, 2}},
		{"middle", []view.ReplicaID{1, 2, 3, 4}, 3, []view.ReplicaID{2, 4}},
		{"tail", []view.ReplicaID{1, 2, 3, 4}, 4, []view.ReplicaID{3, 1}},
	} {
		got := ringNeighbours(ring(1, test.members...), test.self)
		if len(got) != len(test.want) {
			t.Fatalf("%s: got %v, want %v", test.name, got, test.want)
		}
		for i, m := range got {
			if m.Replica != test.want[i] {
				t.Errorf("%s: got %v, want %v", test.name, got, test.want)
			}
		}
	}
}

// run probes the neighbours of replica 1 every probeInterval. The members for which answers is true answer.
func (n *neighbourProbes) run(v view.View, from, to time.Duration, answers map[view.ReplicaID]bool) {
	for now := from; now <= to; now += probeInterval {
		for _, m := range n.beginProbe(now, v, 1) {
			if answers[m.Replica] {
				n.answered(now, m.Replica)
			}
		}
	}
}

// TestUnresponsiveNeighbour checks that a neighbour that does not answer here, though others may reach it, counts as
// unreachable after unresponsiveTimeout.
func TestUnresponsiveNeighbour(t *testing.T) {
	var n neighbourProbes
	v := ring(1, 1, 2, 3)
	n.run(v, 0, 3*time.Second, map[view.ReplicaID]bool{2: true, 3: true})
	n.run(v, 3300*time.Millisecond, 4200*time.Millisecond, map[view.ReplicaID]bool{2: true})
	if n.unresponsive(4200*time.Millisecond, 1, 3) {
		t.Error("unresponsive before the timeout: got true, want false")
	}
	n.run(v, 4500*time.Millisecond, 4800*time.Millisecond, map[view.ReplicaID]bool{2: true})
	if !n.unresponsive(4800*time.Millisecond, 1, 3) {
		t.Error("unresponsive after the timeout: got false, want true")
	}
	if n.unresponsive(4800*time.Millisecond, 1, 2) {
		t.Error("unresponsive though it answers: got true, want false")
	}
	n.answered(4900*time.Millisecond, 3)
	if n.unresponsive(4900*time.Millisecond, 1, 3) {
		t.Error("unresponsive after it answered: got true, want false")
	}
}

// TestProbesAfterOwnPause checks that a replica does not count its neighbours as unresponsive right after a pause of its
// own process, or after a new view.
func TestProbesAfterOwnPause(t *testing.T) {
	var n neighbourProbes
	v := ring(1, 1, 2, 3)
	n.run(v, 0, time.Second, map[view.ReplicaID]bool{2: true, 3: true})
	if n.unresponsive(5*time.Second, 1, 3) {
		t.Error("unresponsive after a pause, before a probe: got true, want false")
	}
	n.beginProbe(5*time.Second, v, 1)
	if n.unresponsive(5*time.Second, 1, 3) {
		t.Error("unresponsive right after a pause of the own process: got true, want false")
	}
	n.run(v, 5*time.Second, 7*time.Second, nil)
	if !n.unresponsive(7*time.Second, 1, 3) {
		t.Fatal("unresponsive after two seconds without an answer: got false, want true")
	}
	n.beginProbe(7*time.Second, ring(2, 1, 3), 1)
	if n.unresponsive(7*time.Second, 2, 3) {
		t.Error("unresponsive right after a new view: got true, want false")
	}
}

// TestVerdictOfAFormerViewDoesNotCount guards against a replica that is dropped again right after it was taken back into the view: it did
// not answer in the view before, and the neighbours have not been probed in the new one yet.
func TestVerdictOfAFormerViewDoesNotCount(t *testing.T) {
	var n neighbourProbes
	n.run(ring(1, 1, 2, 3), 0, 2*time.Second, map[view.ReplicaID]bool{2: true})
	if !n.unresponsive(2*time.Second, 1, 3) {
		t.Fatal("unresponsive after two seconds without an answer: got false, want true")
	}
	if n.unresponsive(2*time.Second, 3, 3) {
		t.Error("unresponsive in a view in which it was not probed: got true, want false")
	}
}

// TestPlanWithoutUnresponsiveNeighbour checks that the next view is planned without a neighbour that does not answer
// here, though the table of members shows it as reachable.
func TestPlanWithoutUnresponsiveNeighbour(t *testing.T) {
	v := ring(1, 1, 2, 3)
	r := &Reconfigurer{
		node:     &Node{options: Options{Self: view.Member{Replica: 1}}},
		options:  ReconfigurerOptions{Policy: view.Policy{MinimumMembers: 2, MaximumMembers: 3}},
		unlisted: map[view.ReplicaID]time.Duration{},
		joins:    map[view.ReplicaID]joinRequest{},
	}
	r.began = time.Now().Add(-10 * time.Second)
	for _, m := range v.Members {
		r.candidates = append(r.candidates, view.Candidate{Member: m, Reachable: true})
	}
	if _, needed := r.planNextView(v); needed {
		t.Fatal("view change with all members reachable: got one, want none")
	}
	now := r.now()
	r.probes.run(v, now-3*time.Second, now, map[view.ReplicaID]bool{2: true})
	next, needed := r.planNextView(v)
	if !needed || next.Has(3) || !next.Has(2) {
		t.Errorf("next view: got %v, needed %v; want one with replica 2 and without replica 3", next, needed)
	}
}
