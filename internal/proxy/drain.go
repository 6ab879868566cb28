package proxy

import (
	"context"
	"net/http"
	"time"
)

const (
	// drainNotice is how long the platform may take to send nobody any more: it asks once a second, and two misses count.
	defaultDrainNotice = 2500 * time.Millisecond
	// drainReserve is kept from the grace period, and no more than a part of it: all has ended by then.
	drainReserve        = time.Second
	drainReserveDivisor = 4
)

// answerReadiness answers the platform's question whether the node takes new connections.
func (p *Proxy) answerReadiness(_ context.Context, _ *request, w *responseWriter) {
	if !p.Ready() {
		w.write(http.StatusServiceUnavailable, nil, nil)
		return
	}
	w.write(http.StatusOK, nil, nil)
}

// Drain ends the proxy in order: it is no longer ready at once, but serves what arrives until the platform has had the time
// to notice; then it closes what is idle, waits for the answers that are being given, and returns. That takes no longer than
// the grace period allows.
func (p *Proxy) Drain(ctx context.Context) {
	grace := p.options.Grace
	ctx, cancel := context.WithTimeout(ctx, grace-min(drainReserve, grace/drainReserveDivisor))
	defer cancel()
	p.draining.Store(true)
	notice := time.NewTimer(min(p.drainNotice, grace/2))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	p.clients.drain(ctx)
	p.Close()
}
