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

// Pool is this node's pool of backends of one service, implemented by *admission.Pool.
type Pool interface {
	// LocalLoads returns the loads of this node, and whether they need to be reported. If complete is set, they include
	// all backends, otherwise only those at which the node has requests.
	LocalLoads(now time.Time, complete bool) (loads []admission.BackendLoad, needed bool)
	// SetTotalLoads sets the loads of all nodes, from the response to the last report.
	SetTotalLoads(now time.Time, loads []admission.BackendLoad)
}

// Options holds the settings and dependencies of a Service.
type Options struct {
	Zone      string
	Transport *peer.Transport
	Members   func() *member.Table
	// PreferredRole is the role of the processes that are preferred as collectors.
	PreferredRole string
	Log           *zap.Logger
}

// Service reports the loads of this node, and collects the loads of other nodes if this process is a collector.
type Service struct {
	options    Options
	candidates *candidates

	mutex     sync.Mutex
	collector *collector
	remote    map[string]*collectorChoice // collectors of other zones, by zone
	local     collectorChoice             // collector of this zone
	pools     map[string]*reportedPool    // by service
}

// maxRefreshWait is how long Refresh waits for the response. It is short, since processes of a zone are near each other.
const maxRefreshWait = 4 * time.Millisecond

// New returns a service and registers its handlers with the transport, which must not be started yet.
func New(o Options) *Service {
	s := &Service{
		options:    o,
		candidates: &candidates{members: o.Members, preferredRole: o.PreferredRole},
		collector:  newCollector(o.Zone),
		remote:     map[string]*collectorChoice{},
		pools:      map[string]*reportedPool{},
	}
	o.Transport.HandleDatagram(kindReport, s.handleReport)
	o.Transport.HandleDatagram(kindResponse, s.handleResponse)
	o.Transport.HandleDatagram(kindSummary, s.handleSummary)
	return s
}

// Run reports all pools once in each Interval until the context ends.
func (s *Service) Run(ctx context.Context) {
	pause.Every(ctx, Interval, nil, func() {
		s.reportAll(time.Now())
	})
}

// send encodes a message and sends it as a datagram.
func (s *Service) send(to netip.AddrPort, kind peer.Kind, encode func() ([]byte, error)) {
	body, err := encode()
	if err != nil {
		s.options.Log.Error("encode load message failed", zap.Uint16("kind", uint16(kind)), zap.Error(err))
		return
	}
	s.options.Transport.SendDatagram(to, peer.Message{Kind: kind, Body: body})
}
