package load

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/member"
	"nickelline/internal/pause"
	"nickelline/internal/peer"
)

// Pool is this node's pool of backends of one service. It is an *admission.Pool.
type Pool interface {
	// Report returns the loads of this node, unless no report is wanted. A complete report names all backends, others only
	// those at which the node has requests.
	Report(now time.Time, complete bool) (loads []admission.BackendLoad, wanted bool)
	// Share sets the totals of all nodes, which are the response to the last report.
	Share(now time.Time, loads []admission.BackendLoad)
}

// Options are the settings and dependencies of a Service.
type Options struct {
	Zone      string
	Transport *peer.Transport
	Members   func() *member.Table
	// PreferredRole is the role of the processes that are preferred as collectors.
	PreferredRole string
	Log           *zap.Logger
}

// Service reports the loads of this node, and collects those of others if it is a collector.
type Service struct {
	options    Options
	candidates *candidates

	mutex     sync.Mutex
	collector *collector
	remote    map[string]*collectorChoice // choice of the collectors of other zones
	local     collectorChoice             // choice of the collector of this zone
	pools     map[string]*reportedPool    // by service
}

// maxRefreshWait is how long Refresh waits for the response. Processes of a zone are near each other.
const maxRefreshWait = 4 * time.Millisecond

// New returns a service and sets its handlers at the transport, which must not be started yet.
func New(o Options) *Service {
	s := &Service{
		options:    o,
		candidates: &candidates{members: o.Members, preferred: o.PreferredRole},
		collector:  newCollector(o.Zone),
		remote:     map[string]*collectorChoice{},
		pools:      map[string]*reportedPool{},
	}
	o.Transport.HandleDatagram(kindReport, s.handleReport)
	o.Transport.HandleDatagram(kindResponse, s.handleResponse)
	o.Transport.HandleDatagram(kindSummary, s.handleSummary)
	return s
}

// Run reports all pools each Interval until the context ends.
func (s *Service) Run(ctx context.Context) {
	pause.Every(ctx, Interval, nil, func() {
		s.reportAll(time.Now())
	})
}

// send encodes a message and sends it.
func (s *Service) send(to netip.AddrPort, kind peer.Kind, encode func() ([]byte, error)) {
	body, err := encode()
	if err != nil {
		s.options.Log.Error("encode load message failed", zap.Uint16("kind", uint16(kind)), zap.Error(err))
		return
	}
	s.options.Transport.Datagram(to, peer.Message{Kind: kind, Body: body})
}
