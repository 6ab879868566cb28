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

// run observes a view each period, with answers of the members for which answers is true.
func (n *neighbourProbes) run(v view.View, from, to time.Duration, answers map[view.ReplicaID]bool) {
	for now := from; now <= to; now += probeInterval {
		for _, m := range n.observe(now, v, 1) {
			if answers[m.Replica] {
				n.answered(now, m.Replica)
			}
		}
	}
}

// A member that others still reach, but this one does not, counts as unreachable here after the limit.
func TestUnresponsiveNeighbour(t *testing.T) {
	var n neighbourProbes
	v := ring(1, 1, 2, 3)
	n.run(v, 0, 3*time.Second, map[view.ReplicaID]bool{2: true, 3: true})
	n.run(v, 3300*time.Millisecond, 4200*time.Millisecond, map[view.ReplicaID]bool{2: true})
	if n.unresponsive(4200*time.Millisecond, 3) {
		t.Error("unresponsive before the timeout")
	}
	n.run(v, 4500*time.Millisecond, 4800*time.Millisecond, map[view.ReplicaID]bool{2: true})
	if !n.unresponsive(4800*time.Millisecond, 3) {
		t.Error("not unresponsive after the timeout")
	}
	if n.unresponsive(4800*time.Millisecond, 2) {
		t.Error("a member that answers is unresponsive")
	}
	n.answered(4900*time.Millisecond, 3)
	if n.unresponsive(4900*time.Millisecond, 3) {
		t.Error("unresponsive after it answered")
	}
}

// A replica that was frozen itself must not find the others unresponsive, nor must one with a new view.
func TestProbesAfterOwnPause(t *testing.T) {
	var n neighbourProbes
	v := ring(1, 1, 2, 3)
	n.run(v, 0, time.Second, map[view.ReplicaID]bool{2: true, 3: true})
	if n.unresponsive(5*time.Second, 3) {
		t.Error("unresponsive by the clock alone, before a probe")
	}
	n.observe(5*time.Second, v, 1)
	if n.unresponsive(5*time.Second, 3) {
		t.Error("unresponsive right after a pause of the own process")
	}
	n.run(v, 5*time.Second, 7*time.Second, nil)
	if !n.unresponsive(7*time.Second, 3) {
		t.Fatal("not unresponsive after two seconds")
	}
	n.observe(7*time.Second, ring(2, 1, 3), 1)
	if n.unresponsive(7*time.Second, 3) {
		t.Error("unresponsive right after a new view")
	}
}

// The plan of the next view leaves out a neighbour that cannot be reached from here, though the table of members shows it.
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
		t.Fatal("a change is planned though all can be reached")
	}
	now := r.now()
	r.probes.run(v, now-3*time.Second, now, map[view.ReplicaID]bool{2: true})
	next, needed := r.planNextView(v)
	if !needed || next.Has(3) || !next.Has(2) {
		t.Errorf("next view %v, want one without replica 3", next)
	}
}
