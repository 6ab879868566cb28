package decide

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"
)

func peerSettings(self int) Settings {
	s := largeFleetSettings(300)
	s.Self, s.MayMessage = self, true
	return s
}

// messages returns the messages to peers among the actions.
func messages(actions []Action) (sent []SendMessage) {
	for _, a := range actions {
		if s, ok := a.(SendMessage); ok {
			sent = append(sent, s)
		}
	}
	return sent
}

// newAskingNode returns a node that has just started, and its requests for estimates.
func newAskingNode(t *testing.T, self int, now Time) (*Module, []SendMessage) {
	t.Helper()
	m := New(peerSettings(self), int64(self))
	m.Handle(now, readyList(40))
	sent := messages(m.Handle(now+25*time.Millisecond, TimerFired{}))
	if len(sent) != estimateRequestFanout {
		t.Fatalf("asks %d other nodes, want %d", len(sent), estimateRequestFanout)
	}
	for _, s := range sent {
		if s.To == self || s.To < 0 || s.To >= 300 || s.ToAll {
			t.Errorf("node %d asks %+v", self, s)
		}
	}
	return m, sent
}

// A node that starts in an overload would take it for ordinary load. It adopts the estimates of another node, and sheds
// accordingly.
func TestRestartedNodeAdoptsEstimates(t *testing.T) {
	ordinary, overload := &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5}, &Report{InFlight: 80, HasInFlight: true, Utilisation: 1}
	old, _ := newAskingNode(t, 7, time.Hour)
	_, now := simulateTraffic(old, time.Hour, 20, 60*time.Millisecond, ordinary)
	fresh, asked := newAskingNode(t, 8, now)
	answers := messages(old.Handle(now, MessageReceived{From: 8, Data: asked[0].Data}))
	if len(answers) != 1 || answers[0].To != 8 || len(answers[0].Data) > 256 {
		t.Fatalf("answers %+v", answers)
	}
	fresh.Handle(now+30*time.Millisecond, MessageReceived{From: 7, Data: answers[0].Data})
	sent, later := simulateTraffic(fresh, now+50*time.Millisecond, 20, 500*time.Millisecond, overload)
	if saturation := fresh.saturationInFlight(); saturation < 18 || saturation > 25 || sent["cheap"] > 20 {
		t.Errorf("started in an overload: got saturation %.1f, want 18 to 25; %v sent of 40 each", saturation, sent)
	}
	alone, _ := newAskingNode(t, 9, now)
	simulateTraffic(alone, now+50*time.Millisecond, 20, 500*time.Millisecond, overload)
	if saturation := alone.saturationInFlight(); saturation < 40 {
		t.Errorf("without estimates from others: got saturation %.1f, want at least 40 for this test to be meaningful", saturation)
	}
	if sent := messages(fresh.Handle(later, TimerFired{})); len(sent) > 0 {
		t.Errorf("asks again: %+v", sent)
	}
	if again := messages(fresh.Handle(later, MessageReceived{From: 9, Data: asked[0].Data})); len(again) != 1 {
		t.Error("does not pass on the estimates that it adopted")
	}
	before := fresh.saturationInFlight()
	fresh.Handle(later, MessageReceived{From: 9, Data: append([]byte(estimatesAnswer), make([]byte, estimatesHeaderLength-len(estimatesAnswer)+8)...)})
	if fresh.saturationInFlight() != before {
		t.Error("younger estimates replace older ones")
	}
}

// No node sends estimates that it has only just made, asks for them without end, or asks where messages are not
// allowed.
func TestEstimateRequestsAreBounded(t *testing.T) {
	m, asked := newAskingNode(t, 3, time.Hour)
	if answers := messages(m.Handle(time.Hour+time.Second, MessageReceived{From: 8, Data: asked[0].Data})); len(answers) > 0 {
		t.Errorf("a node that has just started sends %+v", answers)
	}
	count := 0
	for i := range 400 {
		count += len(messages(m.Handle(time.Hour+time.Second+time.Duration(i)*25*time.Millisecond, TimerFired{})))
	}
	if count > (maxEstimateRequests-1)*estimateRequestFanout {
		t.Errorf("got %d more messages in 10 s without an answer, want fewer", count)
	}
	for _, c := range []struct {
		nodes int
		may   bool
	}{{300, false}, {1, true}} {
		s := peerSettings(0)
		s.Nodes, s.MayMessage = c.nodes, c.may
		m := New(s, 1)
		m.Handle(time.Hour, readyList(40))
		if sent := messages(m.Handle(time.Hour+25*time.Millisecond, TimerFired{})); len(sent) > 0 {
			t.Errorf("%+v: asks %+v", c, sent)
		}
	}
}

// No malformed message has a harmful effect.
func TestMalformedMessages(t *testing.T) {
	old, asked := newAskingNode(t, 7, time.Hour)
	_, now := simulateTraffic(old, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	good := messages(old.Handle(now, MessageReceived{From: 8, Data: asked[0].Data}))[0].Data
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		m, _ := newAskingNode(t, 8, now)
		data := bytes.Clone(good)
		switch i % 4 {
		case 0:
			data = data[:random.IntN(len(data)+1)]
		case 1:
			data = append(data, byte(i))
		default:
			for range 1 + i%9 {
				data[random.IntN(len(data))] = byte(random.Uint32())
			}
		}
		m.Handle(now, MessageReceived{From: 7, Data: data})
		for _, s := range m.sharedEstimates() {
			if !(*s >= 0 && *s <= maxEstimate) {
				t.Fatalf("%x: adopts %v", data, *s)
			}
		}
		simulateTraffic(m, now+50*time.Millisecond, 1, 60*time.Millisecond, nil)
		if n, h := m.load(m.subset[0]); n != n || h != h {
			t.Fatalf("%x: n %v, H %v", data, n, h)
		}
	}
}
