package quota

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

const testTenant = "tenant"

// reserveFixture is an allocator with one registered proxy. For its reserves, the test stands in for the registry.
type reserveFixture struct {
	*Allocator
	t        *testing.T
	now      time.Time
	sequence uint64
}

func newReserveFixture(t *testing.T, inherited ...string) *reserveFixture {
	a := NewAllocator(testPolicy, oneLimit(testLimit), RegistryState{}, inherited, testStart)
	a.SetRegistered(testStart, []Leaseholder{testLeaseholder})
	return &reserveFixture{Allocator: a, t: t, now: testStart}
}

// ask sends a renewal that presents no lease and asks for grants for need requests, and returns the grant.
func (f *reserveFixture) ask(need int) Grant {
	f.t.Helper()
	f.sequence++
	renewal := &Renewal{Sequence: f.sequence, Complete: true, Entries: []Entry{{Tenant: testTenant, Need: need}}}
	grants, err := f.Renew(f.now, testLeaseholder, renewal)
	if err != nil {
		f.t.Fatal(err)
	}
	return grants[0]
}

// fillUp advances the time until the bucket is full and its reserve is due to be kept.
func (f *reserveFixture) fillUp() {
	f.t.Helper()
	for range 20 {
		f.now = f.now.Add(sweepInterval)
		f.ask(0)
	}
}

// keepReserve fills the bucket and records its reserve as kept.
func (f *reserveFixture) keepReserve() {
	f.t.Helper()
	f.fillUp()
	keep, spend := f.TakeReserveChanges()
	if !slices.Equal(keep, []string{testTenant}) || spend != nil {
		f.t.Fatalf("changes with a full bucket: got %v to keep and %v to spend, want the tenant to be kept", keep, spend)
	}
	f.SetReserves(keep)
}

func TestAllocatorBeginsWithTheReserve(t *testing.T) {
	reserve := int(testPolicy.reserve(testLimit))
	f := newReserveFixture(t, testTenant)
	if got := f.ask(1000).Granted; got != reserve {
		t.Errorf("granted at the start: got %d, want the reserve of %d", got, reserve)
	}
	if got := newReserveFixture(t).ask(1000).Granted; got != 0 {
		t.Errorf("granted at the start without a reserve: got %d, want 0", got)
	}
}

// The reserve can be granted before the grace period ends: no former allocator and no leaseholder can use it.
func TestReserveIsGrantedInTheGracePeriod(t *testing.T) {
	registered := []Leaseholder{testLeaseholder, otherLeaseholder}
	a := NewAllocator(testPolicy, oneLimit(testLimit), RegistryState{Leaseholders: registered}, []string{testTenant}, testStart)
	renewal := &Renewal{Sequence: 1, Entries: []Entry{{Tenant: testTenant, Need: 5}}}
	grants, err := a.Renew(testStart, testLeaseholder, renewal)
	if err != nil || grants[0].Granted != 5 || a.graceEnded(testStart) {
		t.Errorf("in the grace period: got %+v, error %v; want 5 granted", grants, err)
	}
}

func TestKeptReserveIsGrantedOnlyOnceItIsRecordedAsSpent(t *testing.T) {
	f := newReserveFixture(t)
	f.keepReserve()
	reserve := int(testPolicy.reserve(testLimit))
	first := f.ask(1000)
	if first.Granted == 0 || !first.Unsettled || first.RetryAfter != reserveRetryAfter {
		t.Errorf("grant beyond the reserve: got %+v, want a part granted and the rest unsettled", first)
	}
	if got := f.ask(1000); got.Granted != 0 || !got.Unsettled {
		t.Errorf("grant of a kept reserve: got %+v, want none", got)
	}
	keep, spend := f.TakeReserveChanges()
	if keep != nil || !slices.Equal(spend, []string{testTenant}) {
		t.Errorf("changes: got %v to keep and %v to spend, want the tenant to be spent", keep, spend)
	}
	if got := f.ask(1000); got.Granted != 0 {
		t.Errorf("grant before the reserve is recorded as spent: got %+v, want none", got)
	}
	f.SetReserves(nil)
	if got := f.ask(1000); got.Granted < reserve || got.Unsettled {
		t.Errorf("grant of a spent reserve: got %+v, want at least %d", got, reserve)
	}
}

// A change to keep a reserve may be committed though it seems to fail, so the reserve is not granted.
func TestReserveOfAnUnclearChangeIsNotGranted(t *testing.T) {
	f := newReserveFixture(t)
	f.fillUp()
	f.TakeReserveChanges()
	f.ask(1000)
	if got := f.ask(1000); got.Granted != 0 || !got.Unsettled {
		t.Errorf("grant of a reserve that may be kept: got %+v, want none", got)
	}
}

// The reserve of a bucket that runs low is recorded as spent before any request has to wait for the record, and kept again
// only after reserveKeepDelay.
func TestReserveIsSpentAheadAndKeptAfterADelay(t *testing.T) {
	f := newReserveFixture(t)
	f.keepReserve()
	capacity := testPolicy.capacity(testLimit)
	account := f.tenants[testTenant]
	f.ask(int(account.tokens - (reserveSpendLevel-0.02)*capacity))
	f.reviewReserves(f.now)
	if keep, spend := f.TakeReserveChanges(); keep != nil || !slices.Equal(spend, []string{testTenant}) {
		t.Errorf("changes of a low bucket: got %v to keep and %v to spend, want the tenant to be spent", keep, spend)
	}
	f.SetReserves(nil)
	account.tokens = (1 - depthFraction) * capacity
	f.reviewReserves(f.now.Add(reserveKeepDelay / 2))
	if f.HasReserveChanges() {
		t.Error("changes before the delay: got some, want none")
	}
	f.reviewReserves(f.now.Add(reserveKeepDelay))
	if keep, _ := f.TakeReserveChanges(); !slices.Equal(keep, []string{testTenant}) {
		t.Errorf("after the delay: got %v to keep, want the tenant", keep)
	}
}

// Reserves of tenants without requests are kept again, so that a second loss of the allocator does not lose them.
func TestInheritedReservesAreKeptAgain(t *testing.T) {
	f := newReserveFixture(t, "idle")
	f.fillUp()
	keep, _ := f.TakeReserveChanges()
	if !slices.Contains(keep, "idle") {
		t.Errorf("reserves to keep: got %v, want that of the idle tenant too", keep)
	}
}

// If the first change of an allocator is committed but seems to fail, the next attempt must not lose the reserves.
func TestInheritanceSurvivesAnUnclearFirstChange(t *testing.T) {
	kept := []string{"a", "b"}
	first := inheritedReservesOf(nil, 3, RegistryState{Epoch: 2, Revision: 7, Reserves: kept})
	for _, test := range []struct {
		name    string
		epoch   uint64
		current RegistryState
		want    []string
	}{
		{"not committed", 3, RegistryState{Epoch: 2, Revision: 7, Reserves: kept}, kept},
		{"committed", 3, RegistryState{Epoch: 3, Revision: 8}, kept},
		{"a later change of the former allocator", 3, RegistryState{Epoch: 2, Revision: 8, Reserves: []string{"a"}}, []string{"a"}},
		{"another allocator's first change", 4, RegistryState{Epoch: 4, Revision: 8}, nil},
		{"more changes since", 3, RegistryState{Epoch: 3, Revision: 9}, nil},
	} {
		got := inheritedReservesOf(first, test.epoch, test.current)
		if !reflect.DeepEqual(got.reserves, test.want) || got.revision != test.current.Revision {
			t.Errorf("%s: got %+v, want %v", test.name, got, test.want)
		}
	}
	second := inheritedReservesOf(first, 3, RegistryState{Epoch: 3, Revision: 8})
	if got := inheritedReservesOf(second, 3, RegistryState{Epoch: 3, Revision: 9}); !reflect.DeepEqual(got.reserves, kept) {
		t.Errorf("two attempts committed: got %v, want %v", got.reserves, kept)
	}
}

// TestSimulatedRepeatedKills repeatedly kills all proxies and the head, with tenants that first send little and then far more
// than their limits. Tokens that a reserve grants after a loss must not have been granted before it.
func TestSimulatedRepeatedKills(t *testing.T) {
	const (
		round   = 8 * time.Second
		burstAt = 5 * time.Second // within a round
		rounds  = 4
	)
	granted := 0
	for seed := range uint64(12) {
		s := newSimulation(t, seed, 10, eightTenants(0.3))
		for r := range rounds {
			from := warmUp + time.Duration(r)*round
			burst := from + burstAt
			for _, tenant := range s.tenants {
				s.traffic(tenant, tenant.demand, from, burst)
				s.traffic(tenant, 6*tenant.limit.Rate, burst, from+round)
			}
			killedAt := burst + time.Duration(s.random.Int64N(int64(600*time.Millisecond)))
			down := time.Duration(s.random.Int64N(int64(300 * time.Millisecond)))
			for _, p := range s.proxies {
				p.kill(killedAt, killedAt+down+time.Duration(s.random.Int64N(int64(50*time.Millisecond))))
			}
			s.restartHead(killedAt, down)
			s.clock.At(killedAt+down+150*time.Millisecond, func() { granted += len(s.heads[0].inheritedReserves()) })
		}
		s.clock.RunUntil(warmUp + rounds*round + time.Second)
	}
	if granted == 0 {
		t.Error("reserves that new allocators took over: got none, want some")
	}
}

// inheritedReserves returns the tenants whose reserves the head's allocator took over.
func (h *simulatedHead) inheritedReserves() []string {
	if h.inherited == nil {
		return nil
	}
	return h.inherited.reserves
}
