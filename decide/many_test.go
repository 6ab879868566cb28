package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Many nodes that see little: each test here guards against what only many nodes do together.

func sparseSettings(nodes int) Settings {
	return Settings{Nodes: nodes, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, ColdFrom: 0.2,
		ColdTime: 20 * time.Second, OverloadFactor: 3, OverloadTime: 2 * time.Second,
		Classes: []Class{
			{Name: "dear", Value: 8, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe},
			{Name: "cheap", Value: 1, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe}}}
}

func sparseList(backends int) ListUpdate {
	l := ListUpdate{Kind: ListCached}
	for i := range backends {
		l.Entries = append(l.Entries, Backend{ID: BackendID(i + 1)})
	}
	return l
}

// drive plays seconds of traffic at one node, four requests a second, each answered after took. It returns how many of
// each class were sent and the last time.
func drive(m *Module, from Time, seconds int, took time.Duration, report *Report) (map[string]int, Time) {
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
		class := []string{"dear", "cheap"}[id%2]
		for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(from, id)), Class: class, Patience: 2 * time.Second}) {
			if s, ok := a.(Send); ok {
				sent[class]++
				out = append(out, due{now + took, AttemptEnded{ID: s.ID, Backend: s.Backend, Over: true, Elapsed: took, Report: report}})
			}
		}
	}
	return sent, now
}

// A node with few requests keeps to few backends, and all nodes together use all backends alike: else connection tables
// fill, or some backends are crowded.
func TestSubsetsCoverBackendsEvenly(t *testing.T) {
	const nodes, backends = 600, 180
	use := map[BackendID]int{}
	for self := range nodes {
		s := sparseSettings(nodes)
		s.Self = self
		m := New(s, int64(self))
		m.Handle(time.Hour, sparseList(backends))
		drive(m, time.Hour, 3, 100*time.Millisecond, nil)
		if len(m.subset) < 8 || len(m.subset) > 16 {
			t.Fatalf("node %d uses %d of %d backends", self, len(m.subset), backends)
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
	m := New(sparseSettings(2), 1)
	m.Handle(time.Hour, sparseList(20))
	for i := range 400 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "dear", Patience: time.Second})
		m.Handle(now, TimerFired{})
	}
	if len(m.subset) != 20 {
		t.Errorf("%d of 20 backends in use at 100 requests a second", len(m.subset))
	}
}

// In a quiet many-node fleet nothing is shed; in a crowded one the cheap class is, then part of the dear one, although
// this node's own count is nearly always 0; and what it knows lapses, so that it does not refuse for ever.
func TestSparseNodeShedsByDelayAndRecovers(t *testing.T) {
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, sparseList(180))
	quiet, now := drive(m, time.Hour, 20, 60*time.Millisecond, nil)
	if quiet["dear"] < 39 || quiet["cheap"] < 39 {
		t.Errorf("quiet: %v sent of 40 each", quiet)
	}
	crowded, now := drive(m, now, 10, 240*time.Millisecond, nil)
	if crowded["cheap"] > 15 || crowded["dear"] < 6 || m.otherDrop == 0 {
		t.Errorf("crowded: %v sent of 20 each, q2 %v", crowded, m.otherDrop)
	}
	jammed, now := drive(m, now, 10, 700*time.Millisecond, nil)
	if jammed["cheap"] > 10 || jammed["dear"] > 15 || m.priorityDrop == 0 {
		t.Errorf("jammed: %v sent of 20 each, q1 %v", jammed, m.priorityDrop)
	}
	_, now = drive(m, now, 15, 60*time.Millisecond, nil)
	if after, _ := drive(m, now, 10, 60*time.Millisecond, nil); after["cheap"] < 18 || after["dear"] < 18 {
		t.Errorf("calm again: %v sent of 20 each", after)
	}
}

// What backends report counts all nodes' requests, and brings all three modes about at a node that has none there. What
// they hold in ordinary work is no overload, however much it is: here 20 requests keep all cores of one busy.
func TestSparseNodeTakesModesFromReports(t *testing.T) {
	for _, c := range []struct {
		inFlight float64
		want     Mode
	}{{0, Normal}, {10, Normal}, {16, Normal}, {45, Overloaded}, {120, Blocking}} {
		m := New(sparseSettings(600), 3)
		m.Handle(time.Hour, sparseList(8))
		_, now := drive(m, time.Hour, 10, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
		m.now = now
		b := m.subset[0]
		m.recordReport(b, &Report{InFlight: c.inFlight, HasInFlight: true})
		if got := m.modeOf(b); got != c.want {
			t.Errorf("a report of %v requests makes mode %v, want %v", c.inFlight, got, c.want)
		}
	}
}

// Two failed connects are no dead process: the connection table may be full. Three in a row make a suspect.
func TestFailedConnectsAreStrikesLikeOthers(t *testing.T) {
	m := New(sparseSettings(600), 1)
	m.Handle(time.Hour, sparseList(1))
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		now := time.Hour + time.Duration(i)*time.Second
		m.Handle(now, RequestArrived{ID: id, Class: "dear", Patience: time.Second})
		m.Handle(now+100*time.Millisecond, AttemptEnded{ID: id, Backend: 1, Code: ConnectFailed, Elapsed: 100 * time.Millisecond})
		if got, want := m.subset[0].suspect, i == 2; got != want {
			t.Errorf("after %d failed connects: suspect %v", i+1, got)
		}
	}
}

// Absurd reports change little, and not for long.
func TestAbsurdReportsAreBounded(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -5, 1e300} {
		m := New(sparseSettings(600), 3)
		m.Handle(time.Hour, sparseList(8))
		_, now := drive(m, time.Hour, 5, 60*time.Millisecond, &Report{InFlight: v, HasInFlight: true})
		_, now = drive(m, now, 30, 60*time.Millisecond, nil)
		if sent, _ := drive(m, now, 10, 60*time.Millisecond, nil); sent["dear"]+sent["cheap"] < 36 {
			t.Errorf("35 s after reports of %v: %v sent of 20 each", v, sent)
		}
	}
}

// In a jam only quick answers come, from backends with long queues. What they hold then is not what backends hold with
// their cores just busy.
func TestJamRaisesNoThreshold(t *testing.T) {
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, sparseList(8))
	_, now := drive(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	if full := m.saturation(); full < 18 || full > 25 {
		t.Fatalf("backends hold 10 at half of their cores: %.1f at all of them", full)
	}
	drive(m, now, 20, 60*time.Millisecond, &Report{InFlight: 80, HasInFlight: true, Utilisation: 1})
	if full := m.saturation(); full < 18 || full > 25 {
		t.Errorf("in a jam backends are said to hold %.1f with their cores just busy, it is 20", full)
	}
}

// An attempt that times out brings no report, and is information all the same: a backend that answers nothing in time is no
// empty one, though its last report is long ago. It lapses.
func TestTimeOutsShowOverload(t *testing.T) {
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, sparseList(8))
	_, now := drive(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	now += 20 * time.Second
	var b *backend
	for _, a := range m.Handle(now, RequestArrived{ID: "late", Class: "dear", Patience: 500 * time.Millisecond}) {
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
		t.Errorf("mode %v after a time-out of eight times the usual, want blocking", mode)
	}
	m.now += 10 * time.Second
	if mode := m.modeOf(b); mode == Blocking {
		t.Errorf("mode %v 10 s later", mode)
	}
}

// Suspects are tried again with requests that a healthy one answers in time, and with a small part of all requests, however
// many suspects there are: in a jam each of many nodes has many, and trials of them all would keep it up.
func TestTrialsAreFewAndLongEnough(t *testing.T) {
	const arrivals = 200
	const took = 250 * time.Millisecond // of a target of 600 ms
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, sparseList(40))
	_, now := drive(m, time.Hour, 20, took, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
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
					t.Fatalf("a trial has %v, an ordinary answer takes %v", a.Timeout, took)
				}
				m.Handle(now, AttemptEnded{ID: id, Backend: a.Backend, Code: TimedOut, Elapsed: a.Timeout})
			}
		}
	}
	if most := int(arrivals*retryTokensPerArrival + maxRetryTokens); sent == 0 || sent > most {
		t.Errorf("%d of %d requests went to suspects, %d at most are to", sent, arrivals, most)
	}
}

// A node of many learns of each of its backends about once in a validity, and so seldom opens a connection anew; and goes
// by what backends report, as the others have most of the requests there.
func TestSubsetsKeepReportsFresh(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, sparseList(200))
	for i := range 800 {
		now := time.Hour + time.Duration(i)*25*time.Millisecond
		m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "dear", Patience: time.Second})
		m.Handle(now, TimerFired{})
	}
	if each := 40 * validity.Seconds() / float64(len(m.subset)); each < 0.9 || !m.seesLittle() {
		t.Errorf("at 40 requests a second one of %d backends has %.2f in a validity (sparse: %v)", len(m.subset), each, m.seesLittle())
	}
}

// A backend of which a node knows nothing, or nothing of late, is no empty one: in a jam all nodes would have such backends, and
// each would send them all that it has. It holds what the others do, until that is old too.
func TestBackendsWithoutReportsAreNotCrowded(t *testing.T) {
	m := New(sparseSettings(300), 3)
	m.Handle(time.Hour, sparseList(40))
	_, now := drive(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	now += 10 * time.Second
	if mode := m.modeOf(m.subset[0]); mode != Normal {
		t.Fatalf("mode %v in ordinary work", mode)
	}
	m.now = now
	for _, b := range m.subset[1:] {
		m.recordReport(b, &Report{InFlight: 60, HasInFlight: true, Utilisation: 1})
	}
	if b := m.subset[0]; m.modeOf(b) == Normal {
		t.Error("a backend that has reported nothing for 10 s is normal in a jam")
	}
	m.now += 10 * time.Second
	if b := m.subset[0]; m.modeOf(b) != Normal {
		t.Error("10 s later the jam is still taken for current")
	}
}

// What a node has at one backend by itself counts by its share of all requests: each of the others has as many. A share of
// H is seldom a whole number, and so a single request counts by chance.
func TestOwnRequestsCountByShare(t *testing.T) {
	m := New(sparseSettings(300), 3)
	m.Handle(time.Hour, sparseList(40))
	_, now := drive(m, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	m.now = now + time.Second
	b := m.subset[0]
	for _, c := range []struct {
		own, dither float64
		want        Mode
	}{{0, 0, Normal}, {1, 0.8, Normal}, {1, 0.1, Overloaded}, {2, 0.9, Overloaded}, {4, 0.9, Blocking}} {
		m.trafficShare = 1 / (2.5 * m.saturation()) // if each node has one, the backend has 2.5 times that
		if b.mode, b.inFlight, b.dither, b.reportExcess = Normal, c.own, c.dither, -m.typicalHeld; m.modeOf(b) != c.want {
			t.Errorf("with %v requests of its own, at chance %v: mode %v, want %v", c.own, c.dither, m.modeOf(b), c.want)
		}
	}
}

// The first answer may be that of a short request: a node that took it for the least latency that there is would hold all
// backends for crowded from then on, and refuse nearly all.
func TestFirstAnswerIsNotTheLeast(t *testing.T) {
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, sparseList(180))
	_, now := drive(m, time.Hour, 1, 5*time.Millisecond, nil)
	quiet, now := drive(m, now, 20, 60*time.Millisecond, nil)
	if quiet["dear"] < 39 || quiet["cheap"] < 39 {
		t.Errorf("after quick first answers %v sent of 40 each", quiet)
	}
	if jammed, _ := drive(m, now, 10, 700*time.Millisecond, nil); jammed["cheap"] > 10 {
		t.Errorf("jammed: %v sent of 20 each", jammed)
	}
}
