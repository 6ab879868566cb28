package gossip

import (
	"bytes"
	"testing"
	"time"
)

func sequence(number uint64) Version { return Version{Sequence: number} }

func versionValue(number uint64) Value {
	return Value{Topic: Configuration, Version: sequence(number), Data: versionData(number, 20_000)}
}

// entryOf returns an entry that has stored some versions, each with the step from the one before it.
func entryOf(t *testing.T, versions ...uint64) *entry {
	t.Helper()
	e := &entry{}
	for _, number := range versions {
		v := versionValue(number)
		var steps []step
		if e.present {
			if steps = differences(e.value, v); len(steps) == 0 {
				t.Fatalf("no difference from %v to %v", e.value.Version, v.Version)
			}
		}
		if !e.store(v, steps) {
			t.Fatalf("store version %d: got false, want true", number)
		}
	}
	return e
}

// Who holds any of the last versions gets differences, which lead to the newest; others get the whole value.
func TestDifferencesLeadToTheNewestVersion(t *testing.T) {
	from := entryOf(t, 1, 2, 5, 6, 7)
	for _, base := range []uint64{1, 2, 5, 6} {
		to := entryOf(t, base)
		version := sequence(base)
		u := from.updateFrom(&version)
		if len(u.steps) == 0 || u.bytes() > len(from.value.Data)/10 {
			t.Errorf("from %d: %d steps, %d bytes", base, len(u.steps), u.bytes())
		}
		value, steps, readable := to.read(&u)
		if !readable || value.Version != sequence(7) || !bytes.Equal(value.Data, from.value.Data) {
			t.Fatalf("from %d: %v, readable: %v", base, value.Version, readable)
		}
		if !to.store(value, steps) || len(to.history.steps) != len(steps) {
			t.Errorf("from %d: %d steps are kept of %d", base, len(to.history.steps), len(steps))
		}
	}
	for _, base := range []uint64{3, 4, 8} {
		version := sequence(base)
		if u := from.updateFrom(&version); len(u.steps) > 0 || !bytes.Equal(u.value.Data, from.value.Data) {
			t.Errorf("from %d, which was never present: got %d steps, want none", base, len(u.steps))
		}
	}
	if u := from.updateFrom(nil); len(u.steps) > 0 {
		t.Error("steps for who holds nothing")
	}
}

// A member may have got further than it was when it asked: the steps behind it are passed over.
func TestReadBeginsAtThePresentVersion(t *testing.T) {
	from := entryOf(t, 1, 2, 3, 4)
	base := sequence(1)
	u := from.updateFrom(&base)
	if value, steps, readable := entryOf(t, 3).read(&u); !readable || value.Version != sequence(4) || len(steps) != 1 {
		t.Errorf("%v by %d steps, readable: %v", value.Version, len(steps), readable)
	}
}

// Steps that do not fit what is present bring no value: they begin elsewhere, have a gap, end elsewhere or are damaged.
func TestStepsThatDoNotFitAreNotRead(t *testing.T) {
	from := entryOf(t, 1, 2, 3, 4)
	base := sequence(1)
	good := from.updateFrom(&base)
	cases := map[string]struct {
		present *entry
		change  func(u *update)
	}{
		"nothing is present":         {&entry{}, func(*update) {}},
		"another version is present": {entryOf(t, 5), func(*update) {}},
		"a gap":                      {entryOf(t, 1), func(u *update) { u.steps = append(u.steps[:1:1], u.steps[2:]...) }},
		"another end":                {entryOf(t, 1), func(u *update) { u.steps = u.steps[:2] }},
		"damage":                     {entryOf(t, 1), func(u *update) { u.steps = []step{{base, sequence(4), []byte("damage")}} }},
		"no differences":             {entryOf(t, 1), func(u *update) { u.steps = []step{{base, sequence(4), nil}} }},
	}
	for name, test := range cases {
		u := good
		test.change(&u)
		if value, _, readable := test.present.read(&u); readable {
			t.Errorf("%s: version %v is read", name, value.Version)
		}
	}
}

// A version that comes whole is where the history begins anew: nothing leads to it from what was present before.
func TestHistoryBeginsAnew(t *testing.T) {
	e := entryOf(t, 1, 2)
	e.store(versionValue(3), nil)
	for _, number := range []uint64{1, 2} {
		base := sequence(number)
		if u := e.updateFrom(&base); len(u.steps) > 0 {
			t.Errorf("%d steps from %d", len(u.steps), number)
		}
	}
	e.store(versionValue(5), []step{{from: sequence(4), to: sequence(5), difference: []byte("of another")}})
	if len(e.history.steps) > 0 {
		t.Error("step from a version that was not present: got it kept, want none")
	}
}

func TestHistoryIsBounded(t *testing.T) {
	h := &history{}
	for number := range uint64(3 * maxSteps) {
		h.extend([]step{{from: sequence(number), to: sequence(number + 1), difference: make([]byte, 10)}})
	}
	if len(h.steps) != maxSteps {
		t.Errorf("%d steps", len(h.steps))
	}
	for number := range uint64(3) {
		h.extend([]step{{from: sequence(number), to: sequence(number + 1), difference: make([]byte, maxStepBytes/2+1)}})
	}
	if len(h.steps) != 1 {
		t.Errorf("%d long steps", len(h.steps))
	}
}

// Where differences do not lead to the pending version, the whole value is fetched from the same member, at once.
func TestWholeValueIsFetchedAfterUselessDifferences(t *testing.T) {
	s := newSimulation(t, 1, 20)
	source, d := s.nodes[0].self.Address, s.nodes[8].disseminator
	d.store(0, versionValue(1), nil, false)
	d.receiveAnnouncement(0, source, []summary{{topic: Configuration, version: sequence(2), age: UnknownAge}})
	fetches := d.Take(true).fetches
	if len(fetches) != 1 || fetches[0].request.base == nil || *fetches[0].request.base != sequence(1) {
		t.Fatalf("fetches %+v", fetches)
	}
	damaged := update{value: Value{Topic: Configuration, Version: sequence(2)}, steps: []step{{sequence(1), sequence(2), []byte("damage")}}}
	d.fetched(time.Second, 0, &fetchAnswer{update: damaged, age: UnknownAge})
	fetches = d.Take(true).fetches
	if len(fetches) != 1 || fetches[0].to != source || fetches[0].request.base != nil {
		t.Fatalf("fetches %+v after damaged differences", fetches)
	}
	d.fetched(time.Second, 0, &fetchAnswer{update: update{value: versionValue(2)}, age: UnknownAge})
	if got := d.entries[Configuration].value; got.Version != sequence(2) || len(d.Take(true).fetches) > 0 {
		t.Errorf("holds %v", got.Version)
	}
}

// A change of a large value costs the members together less than sending the value to two of them.
func TestChangesAreSentAsDifferences(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		const size, bytes, changes = 60, 200_000, 5
		s := newSimulation(t, seed, size)
		s.loss = 0.05
		for number := range uint64(changes + 1) {
			if number == 1 {
				s.sent = 0 // the first version goes whole
			}
			s.publish(s.nodes[int(seed)%size], Configuration, number+1, bytes)
			s.run(s.clock.Now()+3*testHeartbeat, nil)
			if reached := s.replicas(Configuration, number+1); reached != size {
				t.Fatalf("version %d at %d of %d", number+1, reached, size)
			}
		}
		if s.sent > 2*bytes {
			t.Errorf("%d bytes for %d changes of %d", s.sent, changes, bytes)
		}
	})
}

func TestPackerKeepsTheNewest(t *testing.T) {
	p := &packer{}
	for _, number := range []uint64{2, 1, 2, 3} {
		frame, err := p.pack(versionValue(number))
		if err != nil || len(frame) == 0 || len(frame) >= len(versionValue(number).Data) {
			t.Fatalf("version %d: %d bytes, %v", number, len(frame), err)
		}
	}
	if kept := p.packed[Configuration].version; kept != sequence(3) {
		t.Errorf("version %v is kept", kept)
	}
}
