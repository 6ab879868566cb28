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
	proofAgeMargin            = 0.3  // of RevocationMs, by which the maximum proof age is shorter
	clientDescriptorFraction  = 0.45 // of all file descriptors, for connections from clients
	backendDescriptorFraction = 0.35 // of all file descriptors, for connections to backends
)

// ProxyCommand runs the proxy role, which serves clients and forwards their requests to backends.
type ProxyCommand struct{}

// Run serves until the process is asked to terminate.
func (ProxyCommand) Run(caught *signals) error {
	return runRole(caught, newProxyNode)
}

// proxyNode is a node with the proxy role.
type proxyNode struct {
	*node
	state   *nodestate.State
	sender  *forward.Client
	limiter *quota.Limiter
	renewal *leaseRenewal // nil until startServices
	proxy   *proxy.Proxy
}

// newProxyNode binds all addresses. Nothing is received or sent before startServices.
func newProxyNode(p *process, _ *diskWait) (*proxyNode, error) {
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
		MaxConnections: int(backendDescriptorFraction * float64(p.settings.Limits.FileDescriptors)),
		Log:            n.log,
	})
	n.state.OnBackends(n.sender.SetBackends)
	n.proxy = proxy.New(clients, readiness, n.proxyOptions())
	return n, nil
}

func (n *proxyNode) proxyOptions() proxy.Options {
	return proxy.Options{
		Configuration:  n.state.Configuration,
		MaxProofAge:    maxProofAge(n.settings),
		BackendsKnown:  func() bool { return n.state.Backends() != nil },
		Selector:       proxy.PoolSelector(n.state.Pool),
		Loads:          n.loads,
		Sender:         n.sender,
		Quota:          n.limiter,
		Batch:          newBatchClient(n.node, n.state),
		GracePeriod:    settings.Seconds(n.settings.Bounds.GracePeriodS),
		MaxConnections: int(clientDescriptorFraction * float64(n.settings.Limits.FileDescriptors)),
		Log:            n.log,
	}
}

// startServices starts all services of the node except serving clients. They stop when ctx ends or with shutDown.
func (n *proxyNode) startServices(ctx context.Context, caught *signals) error {
	n.start()
	n.serveMetrics(poolMetrics(n.state), senderMetrics(n.sender), proxyMetrics(n.proxy, n.limiter))
	go n.sender.Run(ctx)
	go n.loads.Run(ctx)
	n.renewal = startLeaseRenewal(ctx, n.limiter)
	if err := n.startBackendPolling(ctx); err != nil {
		return err
	}
	go n.checkSettingsOnReload(caught)
	return nil
}

// serve serves clients until that fails or the process is asked to terminate. In the latter case, it drains the requests in
// progress and returns the quota leases.
func (n *proxyNode) serve(ctx context.Context, caught *signals) error {
	served := make(chan error, 1)
	go func() { served <- n.proxy.Serve() }()
	n.log.Info("proxy is serving clients", zap.Stringer("clients", n.settings.Listen.Frontend))
	select {
	case err := <-served:
		return err
	case <-caught.terminate:
	}
	n.announceLeaving()
	n.drain(ctx)
	n.renewal.leave(ctx)
	return nil
}

// shutDown closes the node. serve has already drained the requests and returned the leases.
func (n *proxyNode) shutDown(context.Context) { n.leave() }

// drain waits until the requests in progress have completed, for the grace period at most.
func (n *proxyNode) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settings.Seconds(n.settings.Bounds.GracePeriodS))
	defer cancel()
	n.proxy.Drain(ctx)
}

// leaseRenewal is the renewal of a limiter's leases in a goroutine.
type leaseRenewal struct {
	limiter *quota.Limiter
	stop    context.CancelFunc
	done    chan struct{}
}

func startLeaseRenewal(ctx context.Context, limiter *quota.Limiter) *leaseRenewal {
	ctx, stop := context.WithCancel(ctx)
	run := &leaseRenewal{limiter: limiter, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(run.done)
		limiter.Run(ctx)
	}()
	return run
}

// quotaLeaveTimeout bounds how long a terminating proxy tries to return its quota leases.
const quotaLeaveTimeout = 300 * time.Millisecond

// leave stops the renewal and returns the leases. It is called once no more requests are sent.
func (r *leaseRenewal) leave(ctx context.Context) {
	r.stop()
	<-r.done
	ctx, cancel := context.WithTimeout(ctx, quotaLeaveTimeout)
	defer cancel()
	r.limiter.Leave(ctx)
}

// maxProofAge returns the maximum age of the proof that the configuration is current, 0 for no maximum. A revoked API key
// must be rejected after RevocationMs, also by a node that has not received the configuration without the key.
func maxProofAge(s *settings.Settings) time.Duration {
	if !s.Bounds.RevocationClosed || s.Bounds.RevocationMs <= 0 {
		return 0
	}
	return settings.Milliseconds(s.Bounds.RevocationMs * (1 - proofAgeMargin))
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
