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

// statsInterval is the time between two lines of counts: short enough to show a bad stretch.
const statsInterval = 5 * time.Second

// stats counts what passes through the sockets, for the operators; no decision depends on it. All counts begin anew with
// each line.
type stats struct {
	accepted, turnedAway, evicted atomic.Int64 // clients' connections
	requests, rejected            atomic.Int64 // taken from clients; answered without the module
	served, refused, failed       atomic.Int64 // final answers
	clientsGone, overdue          atomic.Int64 // clients that left; requests that the module left open
	upstream.Counters                          // connections to backends
	outcomes                      [decide.OutcomeCodes]atomic.Int64
}

// answered counts a final answer by its status.
func (s *stats) answered(status int) {
	switch status {
	case http.StatusOK:
		s.served.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.refused.Add(1)
	default:
		s.failed.Add(1)
	}
}

// attrs returns the counts and sets them back.
func (s *stats) attrs() []slog.Attr {
	take := func(name string, n *atomic.Int64) slog.Attr { return slog.Int64(name, n.Swap(0)) }
	var ended [decide.OutcomeCodes]int64
	for i := range s.outcomes {
		ended[i] = s.outcomes[i].Swap(0)
	}
	return []slog.Attr{take("accepted", &s.accepted), take("turned_away", &s.turnedAway), take("evicted", &s.evicted),
		take("requests", &s.requests), take("rejected", &s.rejected), take("served", &s.served), take("refused", &s.refused),
		take("failed", &s.failed), take("gone", &s.clientsGone), take("overdue", &s.overdue), take("dialled", &s.Dialled),
		take("dial_failed", &s.DialFailed), take("retired", &s.Retired), slog.Any("ended", ended)}
}

// report logs the counts periodically until ctx ends, and once more then.
func (s *stats) report(ctx context.Context, clients *admission, t *transport, log *slog.Logger) {
	tick := time.NewTicker(statsInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		attrs := append(s.attrs(), slog.Int("clients", clients.openConnections()), slog.Int("backend_conns", t.Open()))
		log.LogAttrs(context.WithoutCancel(ctx), slog.LevelInfo, "sockets", attrs...)
	}
}
