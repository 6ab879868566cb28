package discovery

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/settings"
)

const (
	testHeartbeat    = 1200 * time.Millisecond
	testDrainTimeout = 3 * time.Second
	testRate         = 42.0
	unknownAge       = time.Duration(1<<63 - 1)
)

var selfAddress = netip.MustParseAddrPort("10.1.0.7:7661")

// fakeDistribution keeps the last published version and the time of its proof.
type fakeDistribution struct {
	sequence uint64
	data     []byte
	proof    time.Time
	changes  int
}

func (d *fakeDistribution) Current() (CurrentList, bool) {
	return CurrentList{Sequence: d.sequence, Data: d.data, ProofAge: d.proofAge()}, d.data != nil
}
func (d *fakeDistribution) Publish(sequence uint64, data []byte) {
	d.sequence, d.data, d.proof = sequence, data, time.Time{}
	d.changes++
}
func (d *fakeDistribution) Certify(sequence uint64, asOf time.Time) {
	if sequence == d.sequence && asOf.After(d.proof) {
		d.proof = asOf
	}
}
func (d *fakeDistribution) Pull(context.Context, netip.AddrPort) error { return nil }
func (d *fakeDistribution) proofAge() time.Duration {
	if d.proof.IsZero() {
		return unknownAge
	}
	return time.Since(d.proof)
}

type fakeRanks struct{}

func (fakeRanks) Rank() (int, bool, int)  { return 0, true, 13 }
func (fakeRanks) Peers() []netip.AddrPort { return nil }

type sourceFunc func() (Listing, error)

func (f sourceFunc) Read(context.Context, bool, func([]Backend)) (Listing, error) { return f() }

// pagedSource reports its pages one by one, and calls afterPage after each.
type pagedSource struct {
	pages     [][]Backend
	err       error
	afterPage func()
}

func (s *pagedSource) Read(_ context.Context, _ bool, onPage func([]Backend)) (Listing, error) {
	var all []Backend
	for _, page := range s.pages {
		onPage(page)
		s.afterPage()
		all = append(all, page...)
	}
	if s.err != nil {
		return Listing{Pages: len(s.pages)}, s.err
	}
	return Listing{List: NewList(sortedByID(all)), Pages: len(s.pages)}, nil
}

func newTestPoller(d Distribution, source Source) *Poller {
	s := &settings.Settings{HeartbeatMs: 1200}
	s.Bounds.DrainTimeoutMs = 3000
	s.CloudAPI.RatePerS = testRate
	return NewPoller(s, selfAddress, source, d, fakeRanks{}, zap.NewNop())
}

func TestPollerPublishesChangesOnly(t *testing.T) {
	backends := manyBackends(12)
	d := &fakeDistribution{}
	poller := newTestPoller(d, sourceFunc(func() (Listing, error) {
		return Listing{List: NewList(append([]Backend(nil), backends...)), Pages: 1}, nil
	}))
	poller.poll(t.Context(), true)
	first := d.sequence
	if d.changes != 1 || d.proof.IsZero() {
		t.Fatalf("first poll: got %d changes, proof %v; want 1 and a proof", d.changes, d.proof)
	}
	proof := d.proof
	backends[1].ColdRemaining -= time.Millisecond // still cold
	poller.poll(t.Context(), true)
	if d.changes != 1 || !d.proof.After(proof) {
		t.Errorf("same listing: got %d changes, proof %v after %v; want 1 and a younger proof", d.changes, d.proof, proof)
	}
	backends[1].Draining = true
	poller.poll(t.Context(), true)
	if d.changes != 2 || d.sequence <= first {
		t.Errorf("changed listing: got %d changes, version %d after %d; want 2 and a higher version", d.changes, d.sequence, first)
	}
}

func TestPollerDropsAnOutdatedListing(t *testing.T) {
	d := &fakeDistribution{}
	var poller *Poller
	other, err := Encode(NewList(manyBackends(5)))
	if err != nil {
		t.Fatal(err)
	}
	poller = newTestPoller(d, sourceFunc(func() (Listing, error) {
		d.Publish(nextSequence(d.sequence, netip.MustParseAddrPort("10.2.0.7:7660")), other)
		return Listing{List: NewList(manyBackends(6)), Pages: 1}, nil
	}))
	poller.poll(t.Context(), true)
	if d.changes != 1 {
		t.Errorf("newer version during the poll: got %d changes, want 1", d.changes)
	}
	if !d.proof.IsZero() {
		t.Error("dropped listing: got a proof of the other version, want none")
	}
}

func TestFailedPollChangesNothing(t *testing.T) {
	d := &fakeDistribution{}
	poller := newTestPoller(d, sourceFunc(func() (Listing, error) { return Listing{}, errors.New("timeout") }))
	poller.poll(t.Context(), true)
	if d.changes != 0 || !d.proof.IsZero() {
		t.Error("failed poll: got a change or a proof, want neither")
	}
}

func TestSequencesOfWritersDiffer(t *testing.T) {
	seen := map[uint64]bool{}
	for _, writer := range []string{"10.1.0.7:7660", "10.1.0.7:7661", "10.2.0.7:7660", "10.1.0.8:7660"} {
		next := nextSequence(5<<writerBits|3, netip.MustParseAddrPort(writer))
		if seen[next] || next>>writerBits != 6 {
			t.Errorf("nextSequence of %s: got %x, want another one with counter 6", writer, next)
		}
		seen[next] = true
	}
}

// A backend that a page shows as draining is published as draining at once, and stays so whether the poll succeeds or
// not. New and missing backends are published only when a poll is complete.
func TestDrainingIsPublishedBeforeThePollEnds(t *testing.T) {
	for _, failure := range []error{nil, errors.New("timeout")} {
		backends := manyBackends(12)
		for i := range backends {
			backends[i].Draining = false
		}
		d := &fakeDistribution{}
		source := &pagedSource{pages: [][]Backend{backends}, afterPage: func() {}}
		poller := newTestPoller(d, source)
		poller.poll(t.Context(), true)
		proof, first := d.proof, d.changes

		later := append([]Backend(nil), backends...)
		later[5].Draining = true
		fresh := later[11]
		fresh.ID = "zz-new"
		source.pages = [][]Backend{later[:4], later[4:8], append(append([]Backend(nil), later[8:11]...), fresh)}
		source.err = failure
		var published []int
		source.afterPage = func() { published = append(published, d.changes-first) }
		poller.poll(t.Context(), true)
		if len(published) != 3 || published[0] != 0 || published[1] != 1 || published[2] != 1 {
			t.Fatalf("changes after each page: got %v, want [0 1 1]", published)
		}
		list, err := Decode(d.data)
		if err != nil {
			t.Fatal(err)
		}
		if b, listed := list.Get(backends[5].ID); !listed || !b.Draining {
			t.Errorf("failure %v: draining backend: got %+v", failure, b)
		}
		_, hasNew := list.Get(fresh.ID)
		_, hasOld := list.Get(backends[11].ID)
		if hasNew != (failure == nil) || hasOld != (failure != nil) {
			t.Errorf("failure %v: got new backend listed: %v, missing backend listed: %v", failure, hasNew, hasOld)
		}
		if failure != nil && (d.proof.After(proof.Add(time.Second)) || d.proof.IsZero()) {
			t.Errorf("proof after a failed poll: got %v, want that of the poll before, %v", d.proof, proof)
		}
		if failure == nil && !d.proof.After(proof) {
			t.Error("proof after a complete poll: want a younger one")
		}
	}
}

// slowDistribution returns the current version 1 ms after reading it, as on an overloaded machine.
type slowDistribution struct{ *fakeDistribution }

func (d slowDistribution) Current() (CurrentList, bool) {
	current, known := d.fakeDistribution.Current()
	for began := time.Now(); time.Since(began) < time.Millisecond; {
	}
	return current, known
}

// A version that is published during a poll inherits the proof of the previous version. If the age of that proof were
// read before the clock, and the process were delayed between the two, the version would get a younger proof. The poll
// would then take the version for one of another node, and would not publish its own list.
func TestDrainingIsPublishedWithTheProofOfTheVersionBefore(t *testing.T) {
	backends := manyBackends(3)
	for i := range backends {
		backends[i].Draining = false
	}
	d := &fakeDistribution{}
	poller := newTestPoller(slowDistribution{d}, &pagedSource{pages: [][]Backend{backends}, afterPage: func() {}})
	poller.poll(t.Context(), true)
	proof := d.proof
	draining := append([]Backend(nil), backends...)
	draining[1].Draining = true
	if _, published := poller.publishDraining(draining); !published {
		t.Fatal("draining backend: got no new version")
	}
	if d.proof.After(proof) {
		t.Errorf("proof of the new version: got one younger by %v, want that of the version before", d.proof.Sub(proof))
	}
}

// overtakenDistribution gets another version with a young proof as soon as the current one has been read.
type overtakenDistribution struct {
	*fakeDistribution
	overtake func()
}

func (d overtakenDistribution) Current() (CurrentList, bool) {
	defer d.overtake()
	return d.fakeDistribution.Current()
}

// TestDrainingIsNotPublishedWithTheProofOfAnotherVersion guards against a list that was made from an old version being taken as
// proven, because the proof of a version that arrived meanwhile was used for it.
func TestDrainingIsNotPublishedWithTheProofOfAnotherVersion(t *testing.T) {
	backends := manyBackends(3)
	for i := range backends {
		backends[i].Draining = false
	}
	d := &fakeDistribution{}
	newTestPoller(d, &pagedSource{pages: [][]Backend{backends}, afterPage: func() {}}).poll(t.Context(), true)
	proof := time.Now().Add(-time.Minute)
	d.proof = proof
	var once sync.Once
	poller := newTestPoller(overtakenDistribution{d, func() {
		once.Do(func() {
			d.Publish(d.sequence+1, d.data)
			d.Certify(d.sequence, time.Now())
		})
	}}, nil)
	draining := append([]Backend(nil), backends...)
	draining[1].Draining = true
	if _, published := poller.publishDraining(draining); !published {
		t.Fatal("draining backend: got no new version")
	}
	if d.proof.After(proof) {
		t.Errorf("proof of the new version: got one younger by %v than that of the version it was made from", d.proof.Sub(proof))
	}
}
