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
	// ownDescriptors are the file descriptors that the process needs for itself.
	ownDescriptors = 24
	// clientShare is the part of the other descriptors that clients' connections get; backends get what remains.
	clientShare = 0.6
	// bodyMemoryShare is the part of the memory for requests' bodies that are being read or held.
	bodyMemoryShare = 1.0 / 8
	// readAheadDivisor gives the part of the memory for what clients send behind open requests.
	readAheadDivisor = 16
)

// Run serves until ctx ends and what has been taken by then is answered. At each signal on reload it reads the
// configuration again. It returns an error if the node can't listen, or stops listening by itself.
func Run(ctx context.Context, c *Config, reload <-chan os.Signal, log *slog.Logger) error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(ctx, c, tcp, reload, log)
}

// serve is Run on a listener, which it closes. It returns once all that it has started has ended.
func serve(ctx context.Context, c *Config, tcp *net.TCPListener, reload <-chan os.Signal, log *slog.Logger) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s, err := newService(inner, c, tcp, log)
	if err != nil {
		tcp.Close()
		return err
	}
	served := s.start(inner, c, reload, log)
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

// service is a node that serves.
type service struct {
	transport *transport
	peers     *peers // nil where nodes send each other no messages
	loop      *loop
	frontend  *frontend
	clients   *admission
	server    *http.Server
	running   sync.WaitGroup // all goroutines that start has started
}

// newService makes a node whose goroutines end with ctx. It starts none.
func newService(ctx context.Context, c *Config, tcp *net.TCPListener, log *slog.Logger) (*service, error) {
	descriptors := c.Limits.Sockets - ownDescriptors
	clients := int(float64(descriptors) * clientShare)
	memory := c.Limits.MemoryMB << 20
	peers, err := listenPeers(c, log)
	if err != nil {
		return nil, err
	}
	s := &service{peers: peers, transport: newTransport(c, descriptors-clients, log)}
	s.loop = newLoop(ctx, c, s.transport, newDiscovery(c.Discovery, log), peers, log)
	s.frontend = newFrontend(s.loop, int64(bodyMemoryShare*float64(memory)), log)
	s.clients = newAdmission(tcp, clients)
	s.clients.readAhead = min(maxReadAhead, max(minReadAhead, memory/readAheadDivisor/clients))
	s.frontend.stats, s.clients.stats = s.transport.stats, s.transport.stats
	s.server = s.frontend.server(s.clients)
	return s, nil
}

// start starts the node's goroutines. The channel that it returns gets the error with which the server ends.
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
