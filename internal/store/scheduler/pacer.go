package scheduler

import (
	"context"
	"sync"
	"time"
)

// Pacer lets many readers of response streams wait for one common tick, so that each read brings what has gathered since the
// last one, and one timer serves all. There is no timer while nobody waits. It is safe for concurrent use.
type Pacer struct {
	interval time.Duration
	mutex    sync.Mutex
	tick     chan struct{} // closed at the next tick; nil while nobody waits
}

// NewPacer returns a pacer whose ticks follow at an interval from the first wait on.
func NewPacer(interval time.Duration) *Pacer { return &Pacer{interval: interval} }

// Wait returns at the next tick, or when the context ends.
func (p *Pacer) Wait(ctx context.Context) {
	select {
	case <-p.nextTick():
	case <-ctx.Done():
	}
}

func (p *Pacer) nextTick() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.tick == nil {
		p.tick = make(chan struct{})
		time.AfterFunc(p.interval, p.fire)
	}
	return p.tick
}

func (p *Pacer) fire() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.tick)
	p.tick = nil
}
