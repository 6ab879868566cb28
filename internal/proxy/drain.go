package proxy

import (
	"context"
	"net/http"
	"time"
)

const (
	// defaultDrainNotice is how long the platform may take to stop sending clients: it checks once a second, and acts on the
	// second failed check.
	defaultDrainNotice = 2500 * time.Millisecond
	// drainReserve is kept from the grace period for the end of the process, but no more than the grace period divided by
	// drainReserveDivisor.
	drainReserve        = time.Second
	drainReserveDivisor = 4
)

// answerReadiness answers the platform's check whether the node takes new connections.
func (p *Proxy) answerReadiness(_ context.Context, _ *request, w *responseWriter) {
	if !p.Ready() {
		w.write(http.StatusServiceUnavailable, nil, nil)
		return
	}
	w.write(http.StatusOK, nil, nil)
}

// Drain ends the proxy in order. It is no longer ready at once, but serves new requests until the platform has had the time to
// notice. Then it closes idle connections, waits for the answers under way, and returns. That takes no longer than the grace
// period allows.
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
