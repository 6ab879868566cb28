package proxy

import (
	"context"
	"net/http"
	"time"
)

const (
	// defaultDrainDelay is how long the platform may take to stop routing clients to this node: it checks readiness once
	// a second, and acts on the second failed check.
	defaultDrainDelay = 2500 * time.Millisecond
	// drainMargin is the part of the grace period that is left for the process to exit after a drain. It is at most the
	// grace period divided by drainMarginDivisor.
	drainMargin        = time.Second
	drainMarginDivisor = 4
)

// serveReadiness answers the platform's check whether the node accepts new connections.
func (p *Proxy) serveReadiness(_ context.Context, _ *request, w *responseWriter) {
	if !p.Ready() {
		w.write(http.StatusServiceUnavailable, nil, nil)
		return
	}
	w.write(http.StatusOK, nil, nil)
}

// Drain shuts the proxy down gracefully. The proxy reports immediately that it is not ready, but serves new requests
// until the platform has had time to react. Then it closes idle connections, waits for the responses in flight, and
// closes the rest. Drain returns within the grace period, less a margin for the exit of the process.
func (p *Proxy) Drain(ctx context.Context) {
	grace := p.options.GracePeriod
	ctx, cancel := context.WithTimeout(ctx, grace-min(drainMargin, grace/drainMarginDivisor))
	defer cancel()
	p.draining.Store(true)
	delay := time.NewTimer(min(p.drainDelay, grace/2))
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	p.clients.drain(ctx)
	p.Close()
}
