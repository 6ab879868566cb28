package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"nickelline/decide"
	"nickelline/internal/upstream"
)

// statsInterval is the time between two log lines of counters. It is short enough to show a brief disruption.
const statsInterval = 5 * time.Second

// stats counts connections, requests and outcomes for the operators. No decision depends on it. All counters are reset
// with each log line.
type stats struct {
	accepted, connsRefused, evicted atomic.Int64 // client connections
	requests, rejected              atomic.Int64 // passed to the module; rejected as invalid
	served, refused, failed         atomic.Int64 // final responses
	clientsGone, overdue            atomic.Int64 // clients that disconnected; requests that the module did not answer in time
	upstream.Counters                            // connections to backends
	outcomes                        [decide.OutcomeCodes]atomic.Int64
}

// countResponse counts a final response by its status.
func (s *stats) countResponse(status int) {
	switch status {
	case http.StatusOK:
		s.served.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.refused.Add(1)
	default:
		s.failed.Add(1)
	}
}

// takeAttrs returns the counters as log attributes and resets them.
func (s *stats) takeAttrs() []slog.Attr {
	take := func(name string, n *atomic.Int64) slog.Attr { return slog.Int64(name, n.Swap(0)) }
	var ended [decide.OutcomeCodes]int64
	for i := range s.outcomes {
		ended[i] = s.outcomes[i].Swap(0)
	}
	return []slog.Attr{take("accepted", &s.accepted), take("turned_away", &s.connsRefused), take("evicted", &s.evicted),
		take("requests", &s.requests), take("rejected", &s.rejected), take("served", &s.served), take("refused", &s.refused),
		take("failed", &s.failed), take("gone", &s.clientsGone), take("overdue", &s.overdue), take("dialled", &s.Dialed),
		take("dial_failed", &s.DialFailed), take("retired", &s.Retired), slog.Any("ended", ended)}
}

// report logs the counters periodically until ctx ends, and once more then.
func (s *stats) report(ctx context.Context, clients *clientListener, t *transport, log *slog.Logger) {
	tick := time.NewTicker(statsInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		attrs := append(s.takeAttrs(), slog.Int("clients", clients.openConnections()), slog.Int("backend_conns", t.Open()))
		log.LogAttrs(context.WithoutCancel(ctx), slog.LevelInfo, "sockets", attrs...)
	}
}
