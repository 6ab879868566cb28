package admission

import (
	"testing"
	"time"
)

// fail ends some requests in a row at a backend with an outcome.
func fail(p *Pool, b *backend, now time.Time, o Outcome, times int) {
	for range times {
		p.ticket(now, &Request{}, b).Done(now, o, nil)
	}
}

func TestFailuresEjectAndTrialsRestore(t *testing.T) {
	p := newTestPool(backendsOf(4, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	fail(p, b, at(0), Failed, maxConsecutiveFailures)
	if !b.health.ejected {
		t.Fatal("not ejected")
	}
	for range 100 {
		ticket := mustPick(t, p, at(0), Request{})
		if ticket.backend == b {
			t.Fatal("an ejected backend was picked")
		}
		ticket.Done(at(0), Cancelled, nil)
	}
	last := time.Duration(0)
	now := at(0)
	for range 4 {
		wait := b.health.ejectedUntil.Sub(now)
		if wait <= last {
			t.Errorf("ejected for %v after %v", wait, last)
		}
		last, now = wait, b.health.ejectedUntil
		trial := p.ticket(now, &Request{}, b)
		if b.health.available(now) {
			t.Fatal("a second trial at the same time")
		}
		trial.Done(now, Failed, nil)
	}
	now = b.health.ejectedUntil
	p.ticket(now, &Request{}, b).Done(now, OK, nil)
	if b.health.ejected {
		t.Error("not restored by a trial that succeeded")
	}
}

func TestUnresponsiveBackendIsEjectedBeforeTimeouts(t *testing.T) {
	p := newTestPool(backendsOf(9, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	unresponsive := p.backends[3]
	for range unresponsiveAttempts {
		p.ticket(at(0), &Request{}, unresponsive)
	}
	mustPick(t, p, at(minUnresponsive-time.Millisecond), Request{})
	if unresponsive.health.ejected {
		t.Error("ejected too soon")
	}
	mustPick(t, p, at(minUnresponsive), Request{})
	if !unresponsive.health.ejected {
		t.Error("an unresponsive backend is not ejected")
	}
}

func TestLateAnswersOfAFailingBackendDoNotRestoreIt(t *testing.T) {
	p := newTestPool(backendsOf(4, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	before := p.ticket(at(0), &Request{}, b)
	fail(p, b, at(0), Failed, maxConsecutiveFailures)
	before.Done(at(0), OK, nil)
	if !b.health.ejected {
		t.Error("restored by a request from before the failures")
	}
}

func TestAnyAnswerRestoresAnUnresponsiveBackend(t *testing.T) {
	p := newTestPool(backendsOf(4, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	before := p.ticket(at(0), &Request{}, b)
	p.ticket(at(0), &Request{}, b)
	p.ticket(at(0), &Request{}, b)
	mustPick(t, p, at(time.Second), Request{})
	if !b.health.ejected {
		t.Fatal("an unresponsive backend is not ejected")
	}
	before.Started(at(time.Second))
	if b.health.ejected {
		t.Error("an answer does not restore an unresponsive backend")
	}
}

func TestFractionOfThePoolIsNeverEjected(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9} {
		p := newTestPool(backendsOf(n, 6, "a"))
		reportIdleLoads(t, p, at(0), 20*time.Millisecond)
		for _, b := range p.backends {
			fail(p, b, at(0), TimedOut, 5)
		}
		kept := 0
		for _, b := range p.backends {
			if !b.health.ejected {
				kept++
			}
		}
		if kept == 0 || float64(kept) < minAvailableFraction*float64(n) {
			t.Errorf("pool of %d backends: got %d available, want at least a fraction of %v", n, kept, minAvailableFraction)
		}
		mustPick(t, p, at(0), Request{})
	}
}

func TestBackendThatFailsNowAndThenIsEjected(t *testing.T) {
	p := newTestPool(backendsOf(9, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	for i := 0; i < 40 && !b.health.ejected; i++ {
		o := OK
		if i%3 != 0 {
			o = Failed
		}
		fail(p, b, at(0), o, 1)
	}
	if !b.health.ejected {
		t.Error("a backend that fails two of three requests is not ejected")
	}
}

func TestEjectedBackendIsTheLastResort(t *testing.T) {
	p := newTestPool(backendsOf(2, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	fail(p, b, at(0), Failed, maxConsecutiveFailures)
	other := p.backends[1].listed.ID
	ticket := mustPick(t, p, at(0), Request{Exclude: func(id string) bool { return id == other }})
	if ticket.backend != b {
		t.Error("picked another backend than the only one that is not excluded")
	}
}
