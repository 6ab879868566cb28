package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/common/tracer"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"go.uber.org/zap"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

const (
	// Bounds on what is read of a request at all. Those of the configuration are looked at when it has been read.
	maxHeaderRead = 64 << 10
	maxBodyRead   = 32 << 20
	// readBuffer is the size of the buffers that requests are read into.
	readBufferSize = 4 << 10
	// hertzTimeout is what hertz is told of time-outs. clientConn decides about them.
	hertzTimeout = time.Hour
	// acceptPause is waited when no connection can be accepted, as when descriptors run out.
	acceptRetryDelay = 50 * time.Millisecond

	readinessConnections     = 64
	connectionRefusal        = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	connectionRefusalTimeout = 20 * time.Millisecond
)

// defaultLimits hold before there is a configuration.
var defaultLimits = configuration.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// silenceHertz keeps hertz from telling of each client that breaks off.
var muteHertzLog sync.Once

// handler answers a request. An answer that it leaves unfinished ends with its connection.
type handler func(ctx context.Context, r *request, w *responseWriter)

// ingress accepts clients' connections, always, and serves the requests that come over them. At the bound on connections
// the one that has waited longest for a request makes room, else the new one is refused.
type server struct {
	listener       *net.TCPListener
	hertz          *http1.Server
	handle         handler
	maxConnections int
	limits         func() configuration.Limits
	draining       *atomic.Bool
	// faulted, if set, is called with the kind of each error that is answered.
	onError  func(fault.Kind)
	contexts sync.Pool
	log      *zap.Logger
	// finishing: connections are closed behind the request that is open on them.
	finishing atomic.Bool

	mutex sync.Mutex
	conns map[*clientConn]struct{}
	// empty is closed when there is no connection left, if it is set.
	drained chan struct{}
}

func newServer(
	listener *net.TCPListener, handle handler, bound int, limits func() configuration.Limits, draining *atomic.Bool, log *zap.Logger,
) *server {
	s := &server{
		listener: listener, handle: handle, maxConnections: bound, limits: limits, draining: draining, log: log,
		conns: map[*clientConn]struct{}{},
	}
	muteHertzLog.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
	s.contexts.New = func() any { return app.NewContext(0) }
	s.hertz = http1.NewServer()
	s.hertz.Core = s
	s.hertz.Option = http1.Option{
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           maxBodyRead,
		MaxHeaderBytes:               maxHeaderRead,
		IdleTimeout:                  hertzTimeout,
		ReadTimeout:                  hertzTimeout,
	}
	return s
}

// serve accepts connections until the listener is closed.
func (s *server) serve() error {
	transport := standard.NewTransporter(&config.Options{
		Listener:                 &listener{TCPListener: s.listener, server: s},
		ReadBufferSize:           readBufferSize,
		SenseClientDisconnection: true,
		OnAccept:                 func(c net.Conn) context.Context { return withConn(c.(*clientConn)) },
	})
	return transport.ListenAndServe(s.serveConnection)
}

func (s *server) serveConnection(ctx context.Context, conn any) error {
	client := connOf(ctx)
	defer client.Close()
	err := s.hertz.Serve(ctx, conn.(network.Conn))
	if err != nil && !errors.Is(err, hertzerrors.ErrShortConnection) && !errors.Is(err, hertzerrors.ErrIdleTimeout) {
		client.discardUnread()
	}
	return err
}

// listener accepts connections for hertz.
type listener struct {
	*net.TCPListener
	server *server
}

// Accept gives the next connection that there is room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.server.log.Warn("accept", zap.Error(err))
			l.server.evict()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.server.addConnection(tcp); c != nil {
			return c, nil
		}
		refuseConnection(tcp)
	}
}

// admit takes a connection in, or gives nil if there is no room.
func (s *server) addConnection(tcp *net.TCPConn) *clientConn {
	if s.isFull() && !s.evict() {
		return nil
	}
	c, err := newClientConn(tcp, s)
	if err != nil {
		return nil
	}
	s.mutex.Lock()
	s.conns[c] = struct{}{}
	s.mutex.Unlock()
	if s.finishing.Load() {
		c.closeIfIdle()
	}
	return c
}

func (s *server) isFull() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns) >= s.maxConnections
}

// evict closes the connection that has waited longest for a request. It tells whether there was one.
func (s *server) evict() bool {
	var oldest *clientConn
	var oldestSince time.Time
	for _, c := range s.connections() {
		since, idle := c.idleSince()
		if idle && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	return oldest != nil && oldest.closeIfIdle()
}

func (s *server) connections() []*clientConn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]*clientConn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

func (s *server) remove(c *clientConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 && s.drained != nil {
		close(s.drained)
		s.drained = nil
	}
}

// turnAway answers a connection that there is no room for.
func refuseConnection(tcp *net.TCPConn) {
	tcp.SetWriteDeadline(time.Now().Add(connectionRefusalTimeout))
	tcp.Write([]byte(connectionRefusal))
	tcp.CloseWrite()
	tcp.Close()
}

// finish accepts no more connections, closes those without a request, and waits until the others have had their answers.
func (s *server) drain(ctx context.Context) {
	s.listener.Close()
	s.finishing.Store(true)
	for _, c := range s.connections() {
		c.closeIfIdle()
	}
	select {
	case <-s.allClosed():
	case <-ctx.Done():
	}
}

// noneLeft gives a channel that is closed once there is no connection.
func (s *server) allClosed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	none := make(chan struct{})
	if len(s.conns) == 0 {
		close(none)
		return none
	}
	s.drained = none
	return none
}

func (s *server) close() {
	s.listener.Close()
	for _, c := range s.connections() {
		c.Close()
	}
}

// IsRunning tells hertz that connections are kept. Answers during a drain say themselves that theirs is closed.
func (s *server) IsRunning() bool { return true }

// GetCtxPool gives hertz its contexts.
func (s *server) GetCtxPool() *sync.Pool { return &s.contexts }

// GetTracer gives none: tracing is off.
func (s *server) GetTracer() tracer.Controller { return nil }

// ServeHTTP takes a request that hertz has read, and answers it.
func (s *server) ServeHTTP(ctx context.Context, c *app.RequestContext) {
	conn := connOf(ctx)
	w := &responseWriter{conn: conn, draining: s.draining, onError: s.onError}
	c.Response.HijackWriter(w)
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error("panic", zap.Any("cause", cause), zap.Stack("stack"))
		}
		s.endRequest(c, conn, w)
	}()
	r, err := readRequest(&c.Request, s.limits(), conn.requestStarted())
	if err != nil {
		w.closeConnection = true
		w.writeError(err)
		return
	}
	w.attemptID = r.attemptID
	w.omitBody = r.method == methodHead
	w.closeConnection = r.closeConnection
	s.handle(ctx, r, w)
	if !w.finished && ctx.Err() == nil {
		w.writeErrorIfNotStarted(fault.New(fault.Internal, "no answer"))
	}
}

// end has hertz close the connection where that is due. Behind an unfinished answer it is closed here, so that the answer
// does not look complete. Hertz is told of no error: over an error it would release its buffers while its read that senses
// whether the client leaves goes on.
func (s *server) endRequest(c *app.RequestContext, conn *clientConn, w *responseWriter) {
	if !w.finished {
		conn.Close()
	}
	if w.closeConnection || !w.finished {
		c.SetConnectionClose()
	}
}
