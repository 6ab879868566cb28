package gossip

import (
	"bytes"
	"testing"
	"time"
)

func testVersion(number uint64) Version { return Version{Sequence: number} }

func testValue(number uint64) Value {
	return Value{Topic: Configuration, Version: testVersion(number), Data: versionData(number, 20_000)}
}

// entryOf returns an entry that has stored some versions, each with the step from the one before it.
func entryOf(t *testing.T, versions ...uint64) *entry {
	t.Helper()
	e := &entry{}
	for _, number := range versions {
		v := testValue(number)
		var steps []step
		if e.present {
			if steps = stepsBetween(e.value, v); len(steps) == 0 {
				t.Fatalf("no difference from %v to %v", e.value.Version, v.Version)
			}
		}
		if !e.store(v, steps) {
			t.Fatalf("store version %d: got false, want true", number)
		}
	}
	return e
}

// A member that has one of the recent versions receives steps to the newest one; any other member receives the whole
// value.
func TestDifferencesLeadToTheNewestVersion(t *testing.T) {
	from := entryOf(t, 1, 2, 5, 6, 7)
	for _, base := range []uint64{1, 2, 5, 6} {
		to := entryOf(t, base)
		version := testVersion(base)
		u := from.updateFrom(&version)
		if len(u.steps) == 0 || u.bytes() > len(from.value.Data)/10 {
			t.Errorf("update from %d: got %d steps of %d bytes, want steps of at most %d bytes", base, len(u.steps), u.bytes(), len(from.value.Data)/10)
		}
		value, steps, reconstructed := to.reconstruct(&u)
		if !reconstructed || value.Version != testVersion(7) || !bytes.Equal(value.Data, from.value.Data) {
			t.Fatalf("update from %d: got version %v, reconstructed: %v, want version %v with its data", base, value.Version, reconstructed, testVersion(7))
		}
		if !to.store(value, steps) || len(to.history.steps) != len(steps) {
			t.Errorf("steps kept after the update from %d: got %d, want %d", base, len(to.history.steps), len(steps))
		}
	}
	for _, base := range []uint64{3, 4, 8} {
		version := testVersion(base)
		if u := from.updateFrom(&version); len(u.steps) > 0 || !bytes.Equal(u.value.Data, from.value.Data) {
			t.Errorf("update from %d, which was never a local version: got %d steps, want the whole value", base, len(u.steps))
		}
	}
	if u := from.updateFrom(nil); len(u.steps) > 0 {
		t.Errorf("update for a member without a version: got %d steps, want none", len(u.steps))
	}
}

// A member may have received a newer version since its request. Steps that end at or before that version are skipped.
func TestReconstructBeginsAtTheLocalVersion(t *testing.T) {
	from := entryOf(t, 1, 2, 3, 4)
	base := testVersion(1)
	u := from.updateFrom(&base)
	if value, steps, reconstructed := entryOf(t, 3).reconstruct(&u); !reconstructed || value.Version != testVersion(4) || len(steps) != 1 {
		t.Errorf("got version %v by %d steps, reconstructed: %v, want version %v by 1 step", value.Version, len(steps), reconstructed, testVersion(4))
	}
}

// Steps are rejected if they do not begin at the local version, have a gap, end at another version or are damaged.
func TestUnusableStepsAreRejected(t *testing.T) {
	from := entryOf(t, 1, 2, 3, 4)
	base := testVersion(1)
	good := from.updateFrom(&base)
	cases := map[string]struct {
		present *entry
		change  func(u *update)
	}{
		"no local version":      {&entry{}, func(*update) {}},
		"another local version": {entryOf(t, 5), func(*update) {}},
		"a gap":                 {entryOf(t, 1), func(u *update) { u.steps = append(u.steps[:1:1], u.steps[2:]...) }},
		"another end":           {entryOf(t, 1), func(u *update) { u.steps = u.steps[:2] }},
		"damage":                {entryOf(t, 1), func(u *update) { u.steps = []step{{base, testVersion(4), []byte("damage")}} }},
		"no differences":        {entryOf(t, 1), func(u *update) { u.steps = []step{{base, testVersion(4), nil}} }},
	}
	for name, test := range cases {
		u := good
		test.change(&u)
		if value, _, reconstructed := test.present.reconstruct(&u); reconstructed {
			t.Errorf("%s: got version %v reconstructed, want a failure", name, value.Version)
		}
	}
}

// A version that arrives as a whole value clears the history, since no steps lead to it from the previous local version.
func TestWholeValueResetsTheHistory(t *testing.T) {
	e := entryOf(t, 1, 2)
	e.store(testValue(3), nil)
	for _, number := range []uint64{1, 2} {
		base := testVersion(number)
		if u := e.updateFrom(&base); len(u.steps) > 0 {
			t.Errorf("update from %d: got %d steps, want none", number, len(u.steps))
		}
	}
	e.store(testValue(5), []step{{from: testVersion(4), to: testVersion(5), difference: []byte("of another")}})
	if len(e.history.steps) > 0 {
		t.Errorf("steps kept from a version that was not the local one: got %d, want none", len(e.history.steps))
	}
}

func TestHistoryIsBounded(t *testing.T) {
	h := &history{}
	for number := range uint64(3 * maxSteps) {
		h.extend([]step{{from: testVersion(number), to: testVersion(number + 1), difference: make([]byte, 10)}})
	}
	if len(h.steps) != maxSteps {
		t.Errorf("steps kept: got %d, want %d", len(h.steps), maxSteps)
	}
	for number := range uint64(3) {
		h.extend([]step{{from: testVersion(number), to: testVersion(number + 1), difference: make([]byte, maxStepBytes/2+1)}})
	}
	if len(h.steps) != 1 {
		t.Errorf("long steps kept: got %d, want 1", len(h.steps))
	}
}

// If the received steps do not lead to the pending version, the whole value is fetched from the same member immediately.
func TestWholeValueIsFetchedAfterUnusableDifferences(t *testing.T) {
	s := newSimulation(t, 1, 20)
	source, d := s.nodes[0].self.Address, s.nodes[8].disseminator
	d.store(0, testValue(1), nil, false)
	d.receiveAnnouncement(0, source, []summary{{topic: Configuration, version: testVersion(2), age: UnknownAge}})
	fetches := d.Take(true).fetches
	if len(fetches) != 1 || fetches[0].request.base == nil || *fetches[0].request.base != testVersion(1) {
		t.Fatalf("fetches after an announcement: got %+v, want one with base %v", fetches, testVersion(1))
	}
	damaged := update{value: Value{Topic: Configuration, Version: testVersion(2)}, steps: []step{{testVersion(1), testVersion(2), []byte("damage")}}}
	d.fetchAnswered(time.Second, 0, &fetchAnswer{update: damaged, age: UnknownAge})
	fetches = d.Take(true).fetches
	if len(fetches) != 1 || fetches[0].to != source || fetches[0].request.base != nil {
		t.Fatalf("fetches after a damaged difference: got %+v, want one from %v without a base", fetches, source)
	}
	d.fetchAnswered(time.Second, 0, &fetchAnswer{update: update{value: testValue(2)}, age: UnknownAge})
	if got := d.entries[Configuration].value; got.Version != testVersion(2) || len(d.Take(true).fetches) > 0 {
		t.Errorf("after the whole value: got version %v or another fetch, want version %v and none", got.Version, testVersion(2))
	}
}

// Several changes of a large value together take fewer bytes, over all members, than sending the value twice.
func TestChangesAreSentAsDifferences(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		const size, bytes, changes = 60, 200_000, 5
		s := newSimulation(t, seed, size)
		s.datagramLossRate = 0.05
		for number := range uint64(changes + 1) {
			if number == 1 {
				s.updateBytes = 0 // the first version is sent as a whole value
			}
			s.publish(s.nodes[int(seed)%size], Configuration, number+1, bytes)
			s.run(s.clock.Now()+3*testHeartbeat, nil)
			if reached := s.nodesWithVersion(Configuration, number+1); reached != size {
				t.Fatalf("nodes with version %d: got %d, want %d", number+1, reached, size)
			}
		}
		if s.updateBytes > 2*bytes {
			t.Errorf("bytes sent for %d changes: got %d, want at most %d", changes, s.updateBytes, 2*bytes)
		}
	})
}

func TestPackerKeepsTheNewest(t *testing.T) {
	p := &packer{}
	for _, number := range []uint64{2, 1, 2, 3} {
		frame, err := p.pack(testValue(number))
		if err != nil || len(frame) == 0 || len(frame) >= len(testValue(number).Data) {
			t.Fatalf("pack version %d: got %d bytes, error %v, want fewer than %d bytes", number, len(frame), err, len(testValue(number).Data))
		}
	}
	if kept := p.packed[Configuration].version; kept != testVersion(3) {
		t.Errorf("cached version: got %v, want %v", kept, testVersion(3))
	}
}
