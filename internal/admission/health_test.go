package admission

import (
	"testing"
	"time"
)

// recordOutcomes sends requests to a backend, one after the other, and ends each of them with an outcome.
func recordOutcomes(p *Pool, b *backend, now time.Time, o Outcome, times int) {
	for range times {
		p.newTicket(now, &Request{}, b).Done(now, o, nil)
	}
}

func TestFailuresEjectAndTrialsRestore(t *testing.T) {
	p := newTestPool(backendsOf(4, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	recordOutcomes(p, b, at(0), Failed, maxConsecutiveFailures)
	if !b.health.ejected {
		t.Fatalf("after %d failures in a row: got not ejected, want ejected", maxConsecutiveFailures)
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
			t.Errorf("ejection time: got %v, want more than the previous one of %v", wait, last)
		}
		last, now = wait, b.health.ejectedUntil
		trial := p.newTicket(now, &Request{}, b)
		if b.health.available(now) {
			t.Fatal("backend with a trial in flight: got available, want not available")
		}
		trial.Done(now, Failed, nil)
	}
	now = b.health.ejectedUntil
	p.newTicket(now, &Request{}, b).Done(now, OK, nil)
	if b.health.ejected {
		t.Error("after a successful trial: got ejected, want restored")
	}
}

func TestUnresponsiveBackendIsEjectedBeforeTimeouts(t *testing.T) {
	p := newTestPool(backendsOf(9, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	unresponsive := p.backends[3]
	for range unresponsiveAttempts {
		p.newTicket(at(0), &Request{}, unresponsive)
	}
	mustPick(t, p, at(minUnresponsive-time.Millisecond), Request{})
	if unresponsive.health.ejected {
		t.Errorf("before %v without a response: got ejected, want not ejected", minUnresponsive)
	}
	mustPick(t, p, at(minUnresponsive), Request{})
	if !unresponsive.health.ejected {
		t.Errorf("after %v without a response: got not ejected, want ejected", minUnresponsive)
	}
}

func TestLateResponsesOfAFailingBackendDoNotRestoreIt(t *testing.T) {
	p := newTestPool(backendsOf(4, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	before := p.newTicket(at(0), &Request{}, b)
	recordOutcomes(p, b, at(0), Failed, maxConsecutiveFailures)
	before.Done(at(0), OK, nil)
	if !b.health.ejected {
		t.Error("after a success of a request from before the failures: got restored, want still ejected")
	}
}

func TestAnyResponseRestoresAnUnresponsiveBackend(t *testing.T) {
	p := newTestPool(backendsOf(4, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	before := p.newTicket(at(0), &Request{}, b)
	p.newTicket(at(0), &Request{}, b)
	p.newTicket(at(0), &Request{}, b)
	mustPick(t, p, at(time.Second), Request{})
	if !b.health.ejected {
		t.Fatal("unresponsive backend: got not ejected, want ejected")
	}
	before.Started(at(time.Second))
	if b.health.ejected {
		t.Error("unresponsive backend after a response: got ejected, want restored")
	}
}

func TestFractionOfThePoolIsNeverEjected(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9} {
		p := newTestPool(backendsOf(n, 6, "a"))
		reportIdleLoads(t, p, at(0), 20*time.Millisecond)
		for _, b := range p.backends {
			recordOutcomes(p, b, at(0), TimedOut, 5)
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

func TestIntermittentlyFailingBackendIsEjected(t *testing.T) {
	p := newTestPool(backendsOf(9, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	for i := 0; i < 40 && !b.health.ejected; i++ {
		o := OK
		if i%3 != 0 {
			o = Failed
		}
		recordOutcomes(p, b, at(0), o, 1)
	}
	if !b.health.ejected {
		t.Error("backend that fails two of three requests: got not ejected, want ejected")
	}
}

func TestEjectedBackendIsTheLastResort(t *testing.T) {
	p := newTestPool(backendsOf(2, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	recordOutcomes(p, b, at(0), Failed, maxConsecutiveFailures)
	other := p.backends[1].listed.ID
	ticket := mustPick(t, p, at(0), Request{Exclude: func(id string) bool { return id == other }})
	if ticket.backend != b {
		t.Error("picked another backend than the only one that is not excluded")
	}
}
