package upstream

import (
	"bufio"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

func TestIdleLimitIsLearned(t *testing.T) {
	const most = 4 * time.Second
	for _, c := range []struct {
		name   string
		broken func(chance float64, idle time.Duration) bool
		least  time.Duration // of the limit
		want   time.Duration // at most
	}{
		{"none break", func(float64, time.Duration) bool { return false }, most, most},
		{"a tenth breaks, whatever the idle time", func(chance float64, _ time.Duration) bool { return chance < 0.1 }, most, most},
		{"all break from 150 ms on", func(_ float64, idle time.Duration) bool { return idle > 150*time.Millisecond },
			90 * time.Millisecond, 182 * time.Millisecond},
		{"half break from 150 ms on, else a tenth", func(chance float64, idle time.Duration) bool {
			return chance < 0.1 || idle > 150*time.Millisecond && chance < 0.5
		}, 90 * time.Millisecond, 182 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r idleHistory
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1000, 0)
			r.decayedAt = now
			for i := range 1000 { // most are idle for a short time only
				idle := time.Duration(1+i%100) * time.Millisecond
				if i/100%2 == 0 {
					idle *= 5
				}
				now = now.Add(3 * time.Millisecond)
				r.record(now, idle, c.broken(random.Float64(), idle))
			}
			if got := r.limit(now, most); got < c.least || got > c.want {
				t.Errorf("limit: got %v, want %v to %v", got, c.least, c.want)
			}
			if got := r.limit(now.Add(time.Minute), most); got != most {
				t.Errorf("limit a minute later: got %v, want %v", got, most)
			}
		})
	}
}

// A connection that has been idle for longer than others lately survived takes no request.
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
	b := New[int](Options{MaxIdle: time.Hour})
	old := &Conn{Conn: tcp, Reader: bufio.NewReader(tcp), idleSince: time.Now().Add(-time.Minute)}
	if !b.isUsable(old) {
		t.Error("isUsable: got false for an open connection within the configured limit")
	}
	for range 10 {
		b.RecordReuse(30*time.Second, true)
	}
	if b.isUsable(old) {
		t.Error("isUsable: got true for a connection that has been idle for longer than those that broke")
	}
	if fresh := (&Conn{Conn: tcp, Reader: bufio.NewReader(tcp), idleSince: time.Now()}); !b.isUsable(fresh) {
		t.Error("isUsable: got false for a connection that has just been used")
	}
}
