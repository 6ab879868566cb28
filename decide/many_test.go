package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Tests of fleets of many nodes, each with a partial view: each test guards against a failure that only many nodes
// together cause.

func largeFleetSettings(nodes int) Settings {
	return Settings{Nodes: nodes, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, ColdStartShare: 0.2,
		WarmUpTime: 20 * time.Second, OverloadFactor: 3, OverloadTime: 2 * time.Second,
		Classes: []Class{
			{Name: "valuable", Value: 8, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe},
			{Name: "cheap", Value: 1, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe}}}
}

func readyList(backends int) ListUpdate {
	l := ListUpdate{Kind: ListCached}
	for i := range backends {
		l.Entries = append(l.Entries, Backend{ID: BackendID(i + 1)})
	}
	return l
}

// simulateTraffic simulates seconds of traffic at one node, four requests per second, each answered after took. It
// returns how many of each class were sent, and the time of the last step.
func simulateTraffic(m *Module, from Time, seconds int, took time.Duration, report *Report) (map[string]int, Time) {
	sent, id := map[string]int{}, 0
	now := from
	type due struct {
		at Time
		e  AttemptEnded
	}
	var out []due
	for step := range seconds * 40 {
		now = from + time.Duration(step)*25*time.Millisecond
		m.Handle(now, TimerFired{})
		for len(out) > 0 && out[0].at <= now {
			m.Handle(now, out[0].e)
			out = out[1:]
		}
		if step%10 != 0 {
			continue
		}
		id++
		class := []string{"valuable", "cheap"}[id%2]
		for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(from, id)), Class: class, Patience: 2 * time.Second}) {
			if s, ok := a.(Send); ok {
				sent[class]++
				out = append(out, due{now + took, AttemptEnded{ID: s.ID, Backend: s.Backend, RequestAnswered: true, Elapsed: took, Report: report}})
			}
		}
	}
	return sent, now
}

// A node with few requests uses few backends, and all nodes together use all backends evenly: otherwise connection
// tables fill, or some backends are overloaded.
func TestSubsetsCoverBackendsEvenly(t *testing.T) {
	const nodes, backends = 600, 180
	use := map[BackendID]int{}
	for self := range nodes {
		s := largeFleetSettings(nodes)
		s.Self = self
		m := New(s, int64(self))
		m.Handle(time.Hour, readyList(backends))
		simulateTraffic(m, time.Hour, 3, 100*time.Millisecond, nil)
		if len(m.subset) < 8 || len(m.subset) > 16 {
			t.Fatalf("node %d uses %d of %d backends, want 8 to 16", self, len(m.subset), backends)
		}
		for _, b := range m.subset {
			use[b.ID]++
		}
	}
	for id := BackendID(1); id <= backends; id++ {
		if mean := nodes * 8 / backends; use[id] < mean*3/4 || use[id] > mean*5/3 {
			t.Errorf("backend %d is used by %d nodes, %d on average", id, use[id], mean)
		}
	}
}

// A busy node uses every backend.
func TestBusyNodeUsesAll(t *testing.T) {
	m := New(largeFleetSettings(2), 1)
	m.Handle(time.Hour, readyList(20))
	for i := range 400 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "valuable", Patience: time.Second})
		m.Handle(now, TimerFired{})
	}
	if len(m.subset) != 20 {
		t.Errorf("got %d of 20 backends in use at 100 requests per second, want all", len(m.subset))
	}
}

// A node of a large fleet sheds nothing under light load. Under high load it sheds the cheap class, then part of the
// valuable one, although its own attempts in flight are nearly always 0. Its estimates decay, so that it does not
// refuse for ever.
func TestPartialViewShedsByLatencyAndRecovers(t *testing.T) {
	m := New(largeFleetSettings(600), 3)
	m.Handle(time.Hour, readyList(180))
	light, now := simulateTraffic(m, time.Hour, 20, 60*time.Millisecond, nil)
	if light["valuable"] < 39 || light["cheap"] < 39 {
		t.Errorf("light load: %v sent of 40 each", light)
	}
	high, now := simulateTraffic(m, now, 10, 240*time.Millisecond, nil)
	if high["cheap"] > 15 || high["valuable"] < 6 || m.otherDrop == 0 {
		t.Errorf("high load: %v sent of 20 each, q2 %v", high, m.otherDrop)
	}
	overloaded, now := simulateTraffic(m, now, 10, 700*time.Millisecond, nil)
	if overloaded["cheap"] > 10 || overloaded["valuable"] > 15 || m.priorityDrop == 0 {
		t.Errorf("overload: %v sent of 20 each, q1 %v", overloaded, m.priorityDrop)
	}
	_, now = simulateTraffic(m, now, 15, 60*time.Millisecond, nil)
	if after, _ := simulateTraffic(m, now, 10, 60*time.Millisecond, nil); after["cheap"] < 18 || after["valuable"] < 18 {
		t.Errorf("light load again: %v sent of 20 each", after)
	}
}

// Reports count the requests of all nodes, and cause all three modes at a node that has no attempt in flight. Requests
// in flight under ordinary load are no overload, however many they are: here 20 requests keep all cores of a backend
// busy.
func TestPartialViewTakesModesFromReports(t *testing.T) {
	for _, c := range []struct {
		inFlight float64
		want     Mode
	}{{0, Normal}, {10, Normal}, {16, Normal}, {45, Overloaded}, {120, Blocking}} {
		m := New(largeFleetSettings(600), 3)
		m.Handle(time.Hour, readyList(8))
		_, now := simulateTraffic(m, time.Hour, 10, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
		m.now = now
		b := m.subset[0]
		m.recordReport(b, &Report{InFlight: c.inFlight, HasInFlight: true})
		if got := m.modeOf(b); got != c.want {
			t.Errorf("after a report of %v requests: got mode %v, want %v", c.inFlight, got, c.want)
		}
	}
}

// Two failed connects do not prove that a backend is dead, as its connection table may be full. Three consecutive ones
// make it a suspect.
func TestThreeFailedConnectsMakeSuspect(t *testing.T) {
	m := New(largeFleetSettings(600), 1)
	m.Handle(time.Hour, readyList(1))
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		now := time.Hour + time.Duration(i)*time.Second
		m.Handle(now, RequestArrived{ID: id, Class: "valuable", Patience: time.Second})
		m.Handle(now+100*time.Millisecond, AttemptEnded{ID: id, Backend: 1, Code: ConnectFailed, Elapsed: 100 * time.Millisecond})
		if got, want := m.subset[0].suspect, i == 2; got != want {
			t.Errorf("after %d failed connects: got suspect %v", i+1, got)
		}
	}
}

// Implausible reports have a small effect, and not for long.
func TestImplausibleReportsAreBounded(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -5, 1e300} {
		m := New(largeFleetSettings(600), 3)
		m.Handle(time.Hour, readyList(8))
		_, now := simulateTraffic(m, time.Hour, 5, 60*time.Millisecond, &Report{InFlight: v, HasInFlight: true})
		_, now = simulateTraffic(m, now, 30, 60*time.Millisecond, nil)
		if sent, _ := simulateTraffic(m, now, 10, 60*time.Millisecond, nil); sent["valuable"]+sent["cheap"] < 36 {
			t.Errorf("35 s after reports of %v: %v sent of 20 each", v, sent)
		}
	}
}

// In an overload only fast answers arrive, from backends with long queues. The requests in flight that these backends
// report must not raise the estimate of how many keep a backend's cores just busy.
func TestOverloadDoesNotRaiseSaturation(t *testing.T) {
	m := New(largeFleetSettings(600), 3)
	m.Handle(time.Hour, readyList(8))
	_, now := simulateTraffic(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	if saturation := m.saturationInFlight(); saturation < 18 || saturation > 25 {
		t.Fatalf("with 10 requests in flight at a utilisation of 0.5: got saturation %.1f, want 18 to 25", saturation)
	}
	simulateTraffic(m, now, 20, 60*time.Millisecond, &Report{InFlight: 80, HasInFlight: true, Utilisation: 1})
	if saturation := m.saturationInFlight(); saturation < 18 || saturation > 25 {
		t.Errorf("in an overload: got saturation %.1f, want 18 to 25", saturation)
	}
}

// An attempt that times out brings no report, but shows load all the same: a backend that does not answer in time must
// not look empty, even if its last report is old. The estimate decays.
func TestTimeOutsShowOverload(t *testing.T) {
	m := New(largeFleetSettings(600), 3)
	m.Handle(time.Hour, readyList(8))
	_, now := simulateTraffic(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	now += 20 * time.Second
	var b *backend
	for _, a := range m.Handle(now, RequestArrived{ID: "late", Class: "valuable", Patience: 500 * time.Millisecond}) {
		if a, ok := a.(Send); ok {
			b = m.backends[a.Backend]
		}
	}
	if b == nil || b.mode != Normal {
		t.Fatal("not sent to a normal backend")
	}
	now += 500 * time.Millisecond
	m.Handle(now, AttemptEnded{ID: "late", Backend: b.ID, Code: TimedOut, Elapsed: 500 * time.Millisecond})
	if mode := m.modeOf(b); mode != Blocking {
		t.Errorf("got mode %v after a timeout of eight times the usual latency, want blocking", mode)
	}
	m.now += 10 * time.Second
	if mode := m.modeOf(b); mode == Blocking {
		t.Errorf("got mode %v 10 s later, want a lower one", mode)
	}
}

// Trials of suspects are long enough for a healthy backend to answer, and a small share of all requests, however many
// suspects there are: in an overload each of many nodes has many suspects, and trials of them all would keep the
// overload going.
func TestTrialsAreFewAndLongEnough(t *testing.T) {
	const arrivals = 200
	const took = 250 * time.Millisecond // of a target of 600 ms
	m := New(largeFleetSettings(600), 3)
	m.Handle(time.Hour, readyList(40))
	_, now := simulateTraffic(m, time.Hour, 20, took, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	for _, b := range m.backends {
		m.markSuspect(b, "test")
	}
	sent := 0
	for i := range arrivals {
		now += 50 * time.Millisecond
		id := RequestID(fmt.Sprint("trial", i))
		for _, a := range m.Handle(now, RequestArrived{ID: id, Class: "cheap", Patience: time.Second}) {
			if a, ok := a.(Send); ok {
				if sent++; a.Timeout < took*5/4 {
					t.Fatalf("got trial timeout %v, want at least 5/4 of the %v that an ordinary answer takes", a.Timeout, took)
				}
				m.Handle(now, AttemptEnded{ID: id, Backend: a.Backend, Code: TimedOut, Elapsed: a.Timeout})
			}
		}
	}
	if most := int(arrivals*retryTokensPerArrival + maxRetryTokens); sent == 0 || sent > most {
		t.Errorf("%d of %d requests went to suspects, want 1 to %d", sent, arrivals, most)
	}
}

// One of many nodes sends to each backend of its subset about once per validity period, so it seldom opens a new
// connection. It goes by the reports of the backends, as other nodes send them most of their requests.
func TestSubsetsKeepReportsFresh(t *testing.T) {
	m := New(largeFleetSettings(300), 1)
	m.Handle(time.Hour, readyList(200))
	for i := range 800 {
		now := time.Hour + time.Duration(i)*25*time.Millisecond
		m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "valuable", Patience: time.Second})
		m.Handle(now, TimerFired{})
	}
	if each := 40 * validityPeriod.Seconds() / float64(len(m.subset)); each < 0.9 || !m.hasPartialView() {
		t.Errorf("at 40 requests per second each of %d backends gets %.2f per validity period, want 0.9 at least (partial view: %v)",
			len(m.subset), each, m.hasPartialView())
	}
}

// A backend without a recent report must not look empty: in an overload every node would have such backends and send
// them all of its requests. It counts as loaded like the others, until their reports are old too.
func TestBackendsWithoutReportsDoNotLookEmpty(t *testing.T) {
	m := New(largeFleetSettings(300), 3)
	m.Handle(time.Hour, readyList(40))
	_, now := simulateTraffic(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	now += 10 * time.Second
	if mode := m.modeOf(m.subset[0]); mode != Normal {
		t.Fatalf("got mode %v under ordinary load, want normal", mode)
	}
	m.now = now
	for _, b := range m.subset[1:] {
		m.recordReport(b, &Report{InFlight: 60, HasInFlight: true, Utilisation: 1})
	}
	if b := m.subset[0]; m.modeOf(b) == Normal {
		t.Error("in an overload, a backend without a report for 10 s is normal")
	}
	m.now += 10 * time.Second
	if b := m.subset[0]; m.modeOf(b) != Normal {
		t.Error("10 s later the old reports still count")
	}
}

// A node's own attempts at a backend are divided by its share of all requests, as the other nodes have as many in
// proportion. Its share of H is seldom a whole number, so whether a single request exceeds it is decided at random.
func TestOwnRequestsCountByShare(t *testing.T) {
	m := New(largeFleetSettings(300), 3)
	m.Handle(time.Hour, readyList(40))
	_, now := simulateTraffic(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	m.now = now + time.Second
	b := m.subset[0]
	for _, c := range []struct {
		own, dither float64
		want        Mode
	}{{0, 0, Normal}, {1, 0.8, Normal}, {1, 0.1, Overloaded}, {2, 0.9, Overloaded}, {4, 0.9, Blocking}} {
		m.trafficShare = 1 / (2.5 * m.saturationInFlight()) // one request per node adds up to 2.5 times the saturation
		if b.mode, b.inFlight, b.dither, b.inFlightExcess = Normal, c.own, c.dither, -m.meanInFlight; m.modeOf(b) != c.want {
			t.Errorf("with %v own requests and dither %v: got mode %v, want %v", c.own, c.dither, m.modeOf(b), c.want)
		}
	}
}

// The first answer may be that of a short request. A node that took its latency for the minimum would consider all
// backends overloaded from then on and refuse nearly all requests.
func TestFirstAnswerDoesNotSetMinLatency(t *testing.T) {
	m := New(largeFleetSettings(600), 3)
	m.Handle(time.Hour, readyList(180))
	_, now := simulateTraffic(m, time.Hour, 1, 5*time.Millisecond, nil)
	light, now := simulateTraffic(m, now, 20, 60*time.Millisecond, nil)
	if light["valuable"] < 39 || light["cheap"] < 39 {
		t.Errorf("after fast first answers: %v sent of 40 each", light)
	}
	if overloaded, _ := simulateTraffic(m, now, 10, 700*time.Millisecond, nil); overloaded["cheap"] > 10 {
		t.Errorf("overload: %v sent of 20 each", overloaded)
	}
}
