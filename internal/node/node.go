package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
)

const (
	// reservedDescriptors is the number of file descriptors that the process needs for itself.
	reservedDescriptors = 24
	// clientShare is the fraction of the remaining descriptors that client connections get; backend connections get
	// the rest.
	clientShare = 0.6
	// bodyMemoryShare is the fraction of the memory for request bodies that are being read or held.
	bodyMemoryShare = 1.0 / 8
	// readAheadDivisor sets the part of the memory, 1/readAheadDivisor, for data that clients send while a request is
	// open. Each client connection gets an equal part of it, within minReadAhead and maxReadAhead.
	readAheadDivisor = 16
)

// Run serves clients until ctx ends, then drains: it returns once all accepted requests are answered. On each signal
// from reload it reads the configuration again. It returns an error if the node cannot listen, or if the server
// fails before ctx ends.
func Run(ctx context.Context, c *Config, reload <-chan os.Signal, log *slog.Logger) error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(ctx, c, tcp, reload, log)
}

// serve does what Run does, on a listener that it closes. It returns once all goroutines that it started have ended.
func serve(ctx context.Context, c *Config, tcp *net.TCPListener, reload <-chan os.Signal, log *slog.Logger) error {
	serviceCtx, stop := context.WithCancel(context.WithoutCancel(ctx)) // outlives ctx while the node drains
	defer stop()
	s, err := newService(serviceCtx, c, tcp, log)
	if err != nil {
		tcp.Close()
		return err
	}
	served := s.start(serviceCtx, c, reload, log)
	log.Info("serving", "name", c.Name, "listen", tcp.Addr(), "sockets", c.Limits.Sockets)

	select {
	case err = <-served:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		s.frontend.drain(s.clients)
	}
	stop()
	s.server.Close()
	s.running.Wait()
	s.transport.Wait()
	return err
}

// service holds the parts of a running node.
type service struct {
	transport *transport
	peers     *peers // nil if nodes send each other no messages
	loop      *loop
	frontend  *frontend
	clients   *clientListener
	server    *http.Server
	running   sync.WaitGroup // all goroutines that start started
}

// newService returns a node whose goroutines will end with ctx. It starts none of them.
func newService(ctx context.Context, c *Config, tcp *net.TCPListener, log *slog.Logger) (*service, error) {
	descriptors := c.Limits.Sockets - reservedDescriptors
	clients := int(float64(descriptors) * clientShare)
	memory := c.Limits.MemoryMB << 20
	peers, err := listenPeers(c, log)
	if err != nil {
		return nil, err
	}
	s := &service{peers: peers, transport: newTransport(c, descriptors-clients, log)}
	s.loop = newLoop(ctx, c, s.transport, newDiscovery(c.Discovery, log), peers, log)
	s.frontend = newFrontend(s.loop, int64(bodyMemoryShare*float64(memory)), log)
	s.clients = newClientListener(tcp, clients)
	s.clients.readAheadLimit = min(maxReadAhead, max(minReadAhead, memory/readAheadDivisor/clients))
	s.frontend.stats, s.clients.stats = s.transport.stats, s.transport.stats
	s.server = s.frontend.server(s.clients)
	return s, nil
}

// start starts the node's goroutines. The returned channel receives the error with which the HTTP server ends.
func (s *service) start(ctx context.Context, c *Config, reload <-chan os.Signal, log *slog.Logger) <-chan error {
	s.running.Go(func() { s.loop.run(c.KnownBackends) })
	s.running.Go(func() { s.transport.Run(ctx) })
	if s.peers != nil {
		s.running.Go(func() { s.peers.write(ctx) })
		s.running.Go(func() { s.peers.read(s.loop.receiveMessage) })
	}
	served := make(chan error, 1)
	s.running.Go(func() { served <- s.server.Serve(s.clients) })
	s.running.Go(func() { s.transport.stats.report(ctx, s.clients, s.transport, log) })
	s.running.Go(func() { s.loop.reloadConfig(ctx, c, reload) })
	return served
}
