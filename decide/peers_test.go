package decide

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"
)

func peerSettings(self int) Settings {
	s := sparseSettings(300)
	s.Self, s.MayMessage = self, true
	return s
}

// messages returns what actions send to peers.
func messages(actions []Action) (sent []SendMessage) {
	for _, a := range actions {
		if s, ok := a.(SendMessage); ok {
			sent = append(sent, s)
		}
	}
	return sent
}

// asking is a node that has just started, and whom it asks.
func asking(t *testing.T, self int, now Time) (*Module, []SendMessage) {
	t.Helper()
	m := New(peerSettings(self), int64(self))
	m.Handle(now, sparseList(40))
	sent := messages(m.Handle(now+25*time.Millisecond, TimerFired{}))
	if len(sent) != sizeRequestFanout {
		t.Fatalf("asks %d others, want %d", len(sent), sizeRequestFanout)
	}
	for _, s := range sent {
		if s.To == self || s.To < 0 || s.To >= 300 || s.ToAll {
			t.Errorf("node %d asks %+v", self, s)
		}
	}
	return m, sent
}

// A node that starts in a jam would take the jam for ordinary work. It goes by what another knows, and sheds as that does.
func TestRestartedNodeGoesByWhatOthersKnow(t *testing.T) {
	calm, jam := &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5}, &Report{InFlight: 80, HasInFlight: true, Utilisation: 1}
	old, _ := asking(t, 7, time.Hour)
	_, now := drive(old, time.Hour, 20, 60*time.Millisecond, calm)
	fresh, asked := asking(t, 8, now)
	answers := messages(old.Handle(now, MessageReceived{From: 8, Data: asked[0].Data}))
	if len(answers) != 1 || answers[0].To != 8 || len(answers[0].Data) > 256 {
		t.Fatalf("answers %+v", answers)
	}
	fresh.Handle(now+30*time.Millisecond, MessageReceived{From: 7, Data: answers[0].Data})
	sent, later := drive(fresh, now+50*time.Millisecond, 20, 500*time.Millisecond, jam)
	if full := fresh.saturation(); full < 18 || full > 25 || sent["cheap"] > 20 {
		t.Errorf("started in a jam: %.1f held with cores just busy, it is 20; %v sent of 40 each", full, sent)
	}
	alone, _ := asking(t, 9, now)
	drive(alone, now+50*time.Millisecond, 20, 500*time.Millisecond, jam)
	if full := alone.saturation(); full < 40 {
		t.Errorf("one that got no sizes finds %.1f in a jam: this test shows nothing", full)
	}
	if sent := messages(fresh.Handle(later, TimerFired{})); len(sent) > 0 {
		t.Errorf("asks again: %+v", sent)
	}
	if again := messages(fresh.Handle(later, MessageReceived{From: 9, Data: asked[0].Data})); len(again) != 1 {
		t.Error("does not hand on the sizes that it got")
	}
	before := fresh.saturation()
	fresh.Handle(later, MessageReceived{From: 9, Data: append([]byte(sizesAnswer), make([]byte, sizesHeaderLength-len(sizesAnswer)+8)...)})
	if fresh.saturation() != before {
		t.Error("younger knowledge goes before older")
	}
}

// No node sends sizes that it has hardly learned, none asks for ever, or where messages are not allowed.
func TestPeersAreAskedInBounds(t *testing.T) {
	m, asked := asking(t, 3, time.Hour)
	if told := messages(m.Handle(time.Hour+time.Second, MessageReceived{From: 8, Data: asked[0].Data})); len(told) > 0 {
		t.Errorf("a node that has just started sends %+v", told)
	}
	count := 0
	for i := range 400 {
		count += len(messages(m.Handle(time.Hour+time.Second+time.Duration(i)*25*time.Millisecond, TimerFired{})))
	}
	if count > (maxSizeRequests-1)*sizeRequestFanout {
		t.Errorf("%d more messages in 10 s with no answer", count)
	}
	for _, c := range []struct {
		nodes int
		may   bool
	}{{300, false}, {1, true}} {
		s := peerSettings(0)
		s.Nodes, s.MayMessage = c.nodes, c.may
		m := New(s, 1)
		m.Handle(time.Hour, sparseList(40))
		if sent := messages(m.Handle(time.Hour+25*time.Millisecond, TimerFired{})); len(sent) > 0 {
			t.Errorf("%+v: asks %+v", c, sent)
		}
	}
}

// Whatever comes as a message does no harm.
func TestOddMessages(t *testing.T) {
	old, asked := asking(t, 7, time.Hour)
	_, now := drive(old, time.Hour, 20, 60*time.Millisecond, &Report{InFlight: 10, HasInFlight: true, Utilisation: 0.5})
	good := messages(old.Handle(now, MessageReceived{From: 8, Data: asked[0].Data}))[0].Data
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		m, _ := asking(t, 8, now)
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
		for _, s := range m.sharedSizes() {
			if !(*s >= 0 && *s <= maxSharedSize) {
				t.Fatalf("%x: takes %v", data, *s)
			}
		}
		drive(m, now+50*time.Millisecond, 1, 60*time.Millisecond, nil)
		if n, h := m.load(m.subset[0]); n != n || h != h {
			t.Fatalf("%x: n %v, H %v", data, n, h)
		}
	}
}
