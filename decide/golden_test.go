package decide_test

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand"
	"strings"
	"testing"
	"time"

	"nickelline/decide"
	"nickelline/internal/golden"
	"nickelline/internal/wire"
)

// The golden files hold digests of all actions, in their wire form, of long simulated runs: the same events must
// produce the same decisions, the same random numbers and the same log lines.

type digest struct {
	hash    hash.Hash
	actions int
}

func newDigest() *digest { return &digest{hash: sha256.New()} }

func (d *digest) add(node int, now time.Duration, actions []decide.Action) {
	d.actions += len(actions)
	fmt.Fprintf(d.hash, "%d ", now)
	d.hash.Write(wire.AppendReply(nil, []wire.Reply{{Node: node, Actions: actions}}))
}

func (d *digest) String() string {
	return fmt.Sprintf("%d actions, sha256 %x", d.actions, d.hash.Sum(nil))
}

func TestGoldenDecisionsUnderRandomEvents(t *testing.T) {
	var text strings.Builder
	for seed := int64(1); seed <= 25; seed++ {
		d := newDigest()
		simulate(seed, 15*time.Second, func(w *ruleSimulation, actions []decide.Action) []decide.Action {
			d.add(0, w.now, actions)
			return actions
		})
		fmt.Fprintf(&text, "seed %d: %v\n", seed, d)
	}
	golden.Text(t, "random-events.txt", text.String())
}

func TestGoldenDecisionsOfFleet(t *testing.T) {
	var text strings.Builder
	for _, c := range []struct {
		name     string
		nodes    int
		backends int
		rate     float64 // requests per second at each node
		via      decide.ReportVia
	}{
		{"few busy nodes without reports", 2, 6, 80, decide.ReportNone},
		{"few busy nodes with reports", 2, 6, 80, decide.ReportAnswers},
		{"overload", 3, 5, 120, decide.ReportAnswers},
		{"sparse nodes without reports", 24, 40, 6, decide.ReportNone},
		{"sparse nodes with reports", 24, 40, 6, decide.ReportAnswers},
		{"sparse nodes, overload", 24, 12, 16, decide.ReportAnswers},
	} {
		f := newGoldenFleet(c.nodes, c.backends, c.rate, c.via)
		f.run(40 * time.Second)
		fmt.Fprintf(&text, "%s: %v\n", c.name, f.digest)
	}
	golden.Text(t, "fleet.txt", text.String())
}

// goldenFleet is a number of nodes that share backends whose latency grows with their load.
type goldenFleet struct {
	settings decide.Settings
	rate     float64
	random   *rand.Rand
	now      time.Duration
	modules  []*decide.Module
	inFlight []int // requests in flight, by backend
	attempts map[string]int
	due      []goldenEvent
	next     int
	digest   *digest
}

type goldenEvent struct {
	at      time.Duration
	node    int
	backend int // whose request the event ends; -1 for other events
	event   decide.Event
}

const goldenStep = 5 * time.Millisecond

func newGoldenFleet(nodes, backends int, rate float64, via decide.ReportVia) *goldenFleet {
	f := &goldenFleet{rate: rate, random: rand.New(rand.NewSource(int64(nodes*1000 + backends))), now: time.Hour,
		inFlight: make([]int, backends), attempts: map[string]int{}, digest: newDigest()}
	ms := time.Millisecond
	f.settings = decide.Settings{Nodes: nodes, Zone: "z0", MaxAttempts: 3, MayOverlap: true, MayCancel: true, MayMessage: true,
		MayRetryAfter: true, MaxRetryAfter: time.Second, ConnectTimeout: 100 * ms, MinTick: goldenStep, ListOnRequest: true,
		ReportVia: via, AnswerSlack: 20 * ms, MaxListAge: 10 * time.Second, DrainGrace: 500 * ms, ColdStartShare: 0.3,
		WarmUpTime: 8 * time.Second, OverloadFactor: 2.5, OverloadTime: time.Second,
		Tenants: []decide.Tenant{{Name: "a", Quota: 30}},
		Classes: []decide.Class{
			{Name: "safe", Value: 8, Target: 600 * ms, Deadline: 2000 * ms, Effect: decide.Safe},
			{Name: "cheap", Value: 1, Target: 900 * ms, Deadline: 3000 * ms, Effect: decide.Safe, LateValue: 0.5},
			{Name: "keyed", Value: 4, Target: 700 * ms, Deadline: 2000 * ms, Effect: decide.Keyed, KeyScope: decide.ScopeZone,
				DedupWindow: 1500 * ms},
			{Name: "unsafe", Value: 4, Target: 700 * ms, Deadline: 2000 * ms, Effect: decide.Unsafe},
		}}
	for node := range nodes {
		f.modules = append(f.modules, nil)
		f.restart(node)
	}
	return f
}

func (f *goldenFleet) entry(backend int, state decide.BackendState, started time.Duration) decide.Backend {
	return decide.Backend{ID: decide.BackendID(backend + 1), Zone: fmt.Sprint("z", backend%2), Cell: backend % 3, State: state,
		Size: 1, StartedAt: started}
}

func (f *goldenFleet) restart(node int) {
	settings := f.settings
	settings.Self = node
	f.modules[node] = decide.New(settings, int64(node+f.next))
	list := decide.ListUpdate{Kind: decide.ListCached, Version: 1}
	for backend := range f.inFlight {
		list.Entries = append(list.Entries, f.entry(backend, decide.Ready, 0))
	}
	f.feed(node, list)
}

func (f *goldenFleet) feed(node int, event decide.Event) {
	actions := f.modules[node].Handle(f.now, event)
	f.digest.add(node, f.now, actions)
	for _, action := range actions {
		f.carryOut(node, action)
	}
}

func (f *goldenFleet) after(wait time.Duration, e goldenEvent) {
	e.at = f.now + max(wait, goldenStep)
	f.due = append(f.due, e)
}

func (f *goldenFleet) carryOut(node int, action decide.Action) {
	switch a := action.(type) {
	case decide.Send:
		f.attempt(node, a)
	case decide.SetTimer:
		f.after(a.After, goldenEvent{node: node, backend: -1, event: decide.TimerFired{Token: a.Token}})
	case decide.Subscribe:
		f.after(50*time.Millisecond, goldenEvent{node: node, backend: -1, event: decide.ListUpdate{Kind: decide.ListChanges}})
	case decide.SendMessage:
		if a.To >= 0 && a.To < len(f.modules) {
			f.after(goldenStep, goldenEvent{node: a.To, backend: -1, event: decide.MessageReceived{From: node, Data: a.Data}})
		}
	}
}

func (f *goldenFleet) attempt(node int, a decide.Send) {
	backend := int(a.Backend) - 1
	f.inFlight[backend]++
	took := time.Duration(float64(40*time.Millisecond) * (0.5 + f.random.ExpFloat64()) * (1 + float64(f.inFlight[backend])/6))
	code := decide.OK
	switch draw := f.random.Intn(100); {
	case draw < 3:
		code = []decide.OutcomeCode{decide.BackendError, decide.Reset, decide.ConnectFailed}[draw]
	case f.inFlight[backend] > 40 || draw == 3:
		code, took = decide.Full, goldenStep
	case backend == 1 && f.now%(16*time.Second) > 11*time.Second: // it answers nothing for 5 s of 16 s
		code, took = decide.TimedOut, time.Hour
	}
	if took > a.Timeout {
		code, took = decide.TimedOut, a.Timeout
	}
	key := fmt.Sprint(node, a.ID)
	end := decide.AttemptEnded{ID: a.ID, Attempt: f.attempts[key], Backend: a.Backend, RequestAnswered: code == decide.OK, Elapsed: took, Code: code,
		NewConnection: f.random.Intn(4) == 0}
	f.attempts[key]++
	if f.settings.ReportVia == decide.ReportAnswers && code == decide.OK {
		end.Report = &decide.Report{InFlight: float64(f.inFlight[backend]), HasInFlight: true,
			Utilisation: min(1, float64(f.inFlight[backend])/6)}
	}
	f.after(took, goldenEvent{node: node, backend: backend, event: end})
}

func (f *goldenFleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += goldenStep {
		f.deliver()
		for node := range f.modules {
			if f.random.Float64() < f.rate*goldenStep.Seconds() {
				f.arrive(node)
			}
		}
		if f.random.Intn(1000) == 0 {
			f.restart(f.random.Intn(len(f.modules)))
		}
		if f.random.Intn(800) == 0 {
			f.changeList()
		}
	}
}

func (f *goldenFleet) deliver() {
	due := f.due
	f.due = nil
	for _, e := range due {
		if e.at > f.now {
			f.due = append(f.due, e)
			continue
		}
		if e.backend >= 0 {
			f.inFlight[e.backend]--
		}
		f.feed(e.node, e.event)
	}
}

func (f *goldenFleet) arrive(node int) {
	f.next++
	class := f.settings.Classes[f.random.Intn(len(f.settings.Classes))]
	patience := time.Duration(float64(class.Deadline) * (0.4 + 0.6*f.random.Float64()))
	f.feed(node, decide.RequestArrived{ID: decide.RequestID(fmt.Sprint("q", f.next)), Class: class.Name,
		Tenant: []string{"a", ""}[f.random.Intn(2)], Patience: patience, Retry: f.random.Intn(5) == 0})
}

// changeList notifies all nodes that one backend has restarted, drains or is gone, or sends them the full list.
func (f *goldenFleet) changeList() {
	list := decide.ListUpdate{Kind: decide.ListChanges, Version: uint64(f.next)}
	backend := f.random.Intn(len(f.inFlight))
	switch f.random.Intn(4) {
	case 0:
		list.Entries = []decide.Backend{f.entry(backend, decide.Draining, 0)}
	case 1:
		list.Entries = []decide.Backend{f.entry(backend, decide.Gone, 0)}
	case 2:
		list.Entries = []decide.Backend{f.entry(backend, decide.Ready, f.now)}
	default:
		list.Kind = decide.ListFull
		for backend := range f.inFlight {
			list.Entries = append(list.Entries, f.entry(backend, decide.Ready, 0))
		}
	}
	for node := range f.modules {
		f.feed(node, list)
	}
}
