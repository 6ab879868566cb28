package scheduler

import (
	"context"
	"sync"
	"time"
)

// Pacer lets many readers of response streams wait for a common tick, so that each read returns all data received since the last
// one, and a single timer serves all readers. No timer runs while no reader waits. It is safe for concurrent use.
type Pacer struct {
	interval time.Duration
	mutex    sync.Mutex
	tick     chan struct{} // closed at the next tick; nil while no reader waits
}

// NewPacer returns a pacer that ticks one interval after the first reader has begun to wait.
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
