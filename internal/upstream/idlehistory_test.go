package upstream

import (
	"bufio"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

func TestIdleLimitIsLearned(t *testing.T) {
	const longest = 4 * time.Second
	for _, c := range []struct {
		name    string
		broken  func(chance float64, idle time.Duration) bool
		atLeast time.Duration // of the learned limit
		atMost  time.Duration
	}{
		{"none break", func(float64, time.Duration) bool { return false }, longest, longest},
		{"a tenth breaks, whatever the idle time", func(chance float64, _ time.Duration) bool { return chance < 0.1 }, longest, longest},
		{"all break from 150 ms on", func(_ float64, idle time.Duration) bool { return idle > 150*time.Millisecond },
			90 * time.Millisecond, 182 * time.Millisecond},
		{"half break from 150 ms on, else a tenth", func(chance float64, idle time.Duration) bool {
			return chance < 0.1 || idle > 150*time.Millisecond && chance < 0.5
		}, 90 * time.Millisecond, 182 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h idleHistory
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1000, 0)
			h.decayedAt = now
			for i := range 1000 { // most are idle for a short time only
				idle := time.Duration(1+i%100) * time.Millisecond
				if i/100%2 == 0 {
					idle *= 5
				}
				now = now.Add(3 * time.Millisecond)
				h.record(now, idle, c.broken(random.Float64(), idle))
			}
			if got := h.limit(now, longest); got < c.atLeast || got > c.atMost {
				t.Errorf("limit: got %v, want %v to %v", got, c.atLeast, c.atMost)
			}
			if got := h.limit(now.Add(time.Minute), longest); got != longest {
				t.Errorf("limit a minute later: got %v, want %v", got, longest)
			}
		})
	}
}

// A connection takes no request if it has been idle for longer than other connections have lately survived.
func TestConnectionIdleForTooLongIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	tcp, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	p := New[int](Options{MaxIdle: time.Hour})
	old := &Conn{Conn: tcp, Reader: bufio.NewReader(tcp), idleSince: time.Now().Add(-time.Minute)}
	if !p.isUsable(old) {
		t.Error("isUsable: got false for an open connection within the configured limit")
	}
	for range 10 {
		p.RecordReuse(30*time.Second, true)
	}
	if p.isUsable(old) {
		t.Error("isUsable: got true for a connection that has been idle for longer than those that broke")
	}
	if fresh := (&Conn{Conn: tcp, Reader: bufio.NewReader(tcp), idleSince: time.Now()}); !p.isUsable(fresh) {
		t.Error("isUsable: got false for a connection that has just been used")
	}
}
