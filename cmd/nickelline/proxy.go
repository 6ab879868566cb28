package main

import (
	"context"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/batchapi"
	"nickelline/internal/forward"
	"nickelline/internal/nodestate"
	"nickelline/internal/proxy"
	"nickelline/internal/quota"
	"nickelline/internal/settings"
)

const (
	proofMargin       = 0.3  // of the time after which a key that was taken away must have no effect: kept free
	clientDescriptors = 0.45 // of all descriptors: connections of clients
	serverDescriptors = 0.35 // connections to backends
)

// ProxyCommand is the role that carries traffic.
type ProxyCommand struct{}

// Run serves until the process is told to end.
func (ProxyCommand) Run(caught *signals) error {
	p, err := newProcess()
	if err != nil {
		return err
	}
	clients, err := listen(p.settings.Listen.Frontend)
	if err != nil {
		return err
	}
	readiness, err := listen(p.settings.Listen.Readiness)
	if err != nil {
		return err
	}
	n, err := newNode(p, roleProxy, p.settings.ProxyInternal(), 0)
	if err != nil {
		return err
	}
	state := n.newState()
	limiter := quota.NewLimiter(quota.PolicyOf(&p.settings.Bounds), n.transport, n.controlNodes, p.log)
	limiter.HandleAnnouncements(n.transport)
	sender := forward.NewClient(forward.Options{
		Connections: int(serverDescriptors * float64(p.settings.Limits.FileDescriptors)),
		Log:         p.log,
	})
	state.OnBackends(sender.SetBackends)
	serving := proxy.New(clients, readiness, proxy.Options{
		Configuration: state.Configuration,
		ProofAge:      state.ConfigurationAge,
		MaxProofAge:   maxProofAge(p.settings),
		BackendsKnown: func() bool { return state.Backends() != nil },
		Pick:          proxy.PickFrom(state.Pool),
		Loads:         n.loads,
		Sender:        sender,
		Quota:         limiter,
		Batch:         newBatchClient(n, state),
		Grace:         settings.Seconds(p.settings.Bounds.GracePeriodS),
		Connections:   int(clientDescriptors * float64(p.settings.Limits.FileDescriptors)),
		Log:           p.log,
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n.start()
	n.serveMetrics(poolFigures(state), proxyFigures(serving, limiter))
	go sender.Run(ctx)
	go n.loads.Run(ctx)
	renewing := runLimiter(ctx, limiter)
	if err := n.pollBackends(ctx); err != nil {
		return err
	}
	go n.reload(caught)
	served := make(chan error, 1)
	go func() { served <- serving.Serve() }()
	p.log.Info("proxy serves", zap.Stringer("clients", p.settings.Listen.Frontend))
	select {
	case err = <-served:
	case <-caught.terminate:
		n.leaveSoon()
		drainContext, cancel := context.WithTimeout(ctx, settings.Seconds(p.settings.Bounds.GracePeriodS))
		serving.Drain(drainContext)
		cancel()
		renewing.leave(ctx)
	}
	n.leave()
	return err
}

// limiterRun is a limiter whose leases are being renewed.
type limiterRun struct {
	limiter *quota.Limiter
	stop    context.CancelFunc
	ended   chan struct{}
}

func runLimiter(ctx context.Context, limiter *quota.Limiter) *limiterRun {
	ctx, stop := context.WithCancel(ctx)
	run := &limiterRun{limiter: limiter, stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(run.ended)
		limiter.Run(ctx)
	}()
	return run
}

// quotaLeaveTime bounds how long a proxy that ends tries to give up its quota leases.
const quotaLeaveTime = 300 * time.Millisecond

// leave gives up the leases once no request is sent any more.
func (r *limiterRun) leave(ctx context.Context) {
	r.stop()
	<-r.ended
	ctx, cancel := context.WithTimeout(ctx, quotaLeaveTime)
	defer cancel()
	r.limiter.Leave(ctx)
}

// maxProofAge is how old the proof may be that the configuration is current: a key that was taken away must have no
// effect after a time, also where the node has not heard of it.
func maxProofAge(s *settings.Settings) time.Duration {
	if !s.Bounds.RevocationClosed || s.Bounds.RevocationMs <= 0 {
		return 0
	}
	return settings.Milliseconds(s.Bounds.RevocationMs * (1 - proofMargin))
}

func newBatchClient(n *node, state *nodestate.State) *batchapi.Client {
	return batchapi.New(batchapi.Options{
		Caller:         n.transport,
		Locate:         state.Partition,
		Zone:           n.settings.Zone,
		QuotaOvershoot: n.settings.Bounds.QuotaOvershoot,
	})
}

func listen(address netip.AddrPort) (*net.TCPListener, error) {
	return net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
}
