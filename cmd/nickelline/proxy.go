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
	proofMargin        = 0.3  // of the time after which a key that was taken away must have no effect: kept free
	clientDescriptors  = 0.45 // of all descriptors: connections of clients
	backendDescriptors = 0.35 // connections to backends
)

// ProxyCommand is the role that carries traffic.
type ProxyCommand struct{}

// Run serves until the process is asked to end.
func (ProxyCommand) Run(caught *signals) error {
	return runRole(caught, newProxyNode)
}

// proxyNode is a node with the proxy role.
type proxyNode struct {
	*node
	state    *nodestate.State
	sender   *forward.Client
	limiter  *quota.Limiter
	renewing *limiterRun // from run on
	proxy    *proxy.Proxy
}

// newProxyNode binds all addresses. Nothing is received or sent before run.
func newProxyNode(p *process) (*proxyNode, error) {
	clients, err := listen(p.settings.Listen.Frontend)
	if err != nil {
		return nil, err
	}
	readiness, err := listen(p.settings.Listen.Readiness)
	if err != nil {
		return nil, err
	}
	n := &proxyNode{}
	if n.node, err = newNode(p, roleProxy, p.settings.ProxyInternalAddress(), 0); err != nil {
		return nil, err
	}
	n.state = n.newState()
	n.limiter = quota.NewLimiter(quota.PolicyOf(&p.settings.Bounds), n.transport, n.controlNodes, p.log)
	n.limiter.HandleAnnouncements(n.transport)
	n.sender = forward.NewClient(forward.Options{
		MaxConnections: int(backendDescriptors * float64(p.settings.Limits.FileDescriptors)),
	})
	n.state.OnBackends(n.sender.SetBackends)
	n.proxy = proxy.New(clients, readiness, n.proxyOptions())
	return n, nil
}

func (n *proxyNode) proxyOptions() proxy.Options {
	return proxy.Options{
		Configuration:  n.state.Configuration,
		ProofAge:       n.state.ConfigurationAge,
		MaxProofAge:    maxProofAge(n.settings),
		BackendsKnown:  func() bool { return n.state.Backends() != nil },
		Selector:       proxy.PoolSelector(n.state.Pool),
		Loads:          n.loads,
		Sender:         n.sender,
		Quota:          n.limiter,
		Batch:          newBatchClient(n.node, n.state),
		GracePeriod:    settings.Seconds(n.settings.Bounds.GracePeriodS),
		MaxConnections: int(clientDescriptors * float64(n.settings.Limits.FileDescriptors)),
		Log:            n.log,
	}
}

// run starts all services of the node but the serving of clients. They end with ctx or with end.
func (n *proxyNode) run(ctx context.Context, caught *signals) error {
	n.start()
	n.serveMetrics(poolMetrics(n.state), proxyMetrics(n.proxy, n.limiter))
	go n.sender.Run(ctx)
	go n.loads.Run(ctx)
	n.renewing = runLimiter(ctx, n.limiter)
	if err := n.pollBackends(ctx); err != nil {
		return err
	}
	go n.reload(caught)
	return nil
}

// serve serves clients until that fails, or until the process is asked to end: then it drains the requests under way and gives up the
// quota leases.
func (n *proxyNode) serve(ctx context.Context, caught *signals) error {
	served := make(chan error, 1)
	go func() { served <- n.proxy.Serve() }()
	n.log.Info("proxy serves", zap.Stringer("clients", n.settings.Listen.Frontend))
	select {
	case err := <-served:
		return err
	case <-caught.terminate:
	}
	n.announceLeaving()
	n.drain(ctx)
	n.renewing.leave(ctx)
	return nil
}

// end closes the node, whose requests and leases serve has ended.
func (n *proxyNode) end(context.Context) { n.leave() }

// drain waits for the requests under way, for the grace period at most.
func (n *proxyNode) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settings.Seconds(n.settings.Bounds.GracePeriodS))
	defer cancel()
	n.proxy.Drain(ctx)
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
