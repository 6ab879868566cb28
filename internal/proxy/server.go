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
	// Bounds on the bytes that are read of a request. The lower limits of the configuration are checked after it has been
	// read.
	maxHeaderReadBytes = 64 << 10
	maxBodyReadBytes   = 32 << 20
	// readBufferSize is the size in bytes of the buffers that requests are read into.
	readBufferSize = 4 << 10
	// hertzTimeout is the timeout that hertz is given. It is longer than any other: clientConn enforces the timeouts.
	hertzTimeout = time.Hour
)

// defaultLimits apply before a configuration is known, and to limits that it does not set.
var defaultLimits = configuration.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// muteHertzLog keeps hertz from logging each client that disconnects.
var muteHertzLog sync.Once

// handler answers a request. If it leaves the response unfinished, the connection is closed.
type handler func(ctx context.Context, r *request, w *responseWriter)

// serverOptions configure a server.
type serverOptions struct {
	listener *net.TCPListener
	handle   handler
	// maxConnections is the maximum number of concurrent connections.
	maxConnections int
	// limits returns the current limits for clients.
	limits func() configuration.Limits
	// draining, if true, makes each response close its connection.
	draining *atomic.Bool
	// onError, if set, is called with the kind of each error response.
	onError func(fault.Kind)
	log     *zap.Logger
}

// server accepts client connections and serves the requests that arrive on them. When maxConnections is reached, it
// closes the connection that has been idle longest to accept a new one; if none is idle, it refuses the new one.
type server struct {
	serverOptions
	hertz    *http1.Server
	contexts sync.Pool // of hertz
	// finishing is set when the listener has been closed: connections are closed as soon as they are idle.
	finishing atomic.Bool

	mutex sync.Mutex
	conns map[*clientConn]struct{}
	// drained, if not nil, is closed when no connection is left.
	drained chan struct{}
}

// newServer returns a server, which accepts no connection before serve is called.
func newServer(options serverOptions) *server {
	s := &server{serverOptions: options, conns: map[*clientConn]struct{}{}}
	muteHertzLog.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
	s.contexts.New = func() any { return app.NewContext(0) }
	s.hertz = http1.NewServer()
	s.hertz.Core = s
	s.hertz.Option = http1.Option{
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           maxBodyReadBytes,
		MaxHeaderBytes:               maxHeaderReadBytes,
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

// serveConnection serves the requests of one connection until the connection ends.
func (s *server) serveConnection(ctx context.Context, conn any) error {
	client := connOf(ctx)
	defer func() { _ = client.Close() }() // an error does not matter: the connection is not used any more
	err := s.hertz.Serve(ctx, conn.(network.Conn))
	if err != nil && !errors.Is(err, hertzerrors.ErrShortConnection) && !errors.Is(err, hertzerrors.ErrIdleTimeout) {
		client.discardUnread()
	}
	return err
}

// IsRunning tells hertz to keep connections open. During a drain, responses close their connections themselves.
func (s *server) IsRunning() bool { return true }

// GetCtxPool returns the pool of contexts for hertz.
func (s *server) GetCtxPool() *sync.Pool { return &s.contexts }

// GetTracer returns nil: tracing is off.
func (s *server) GetTracer() tracer.Controller { return nil }

// ServeHTTP answers a request that hertz has read.
func (s *server) ServeHTTP(ctx context.Context, c *app.RequestContext) {
	conn := connOf(ctx)
	w := &responseWriter{conn: conn, draining: s.draining, onError: s.onError}
	c.Response.HijackWriter(w)
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error("request handler panicked", zap.Any("cause", cause), zap.Stack("stack"))
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
		w.writeErrorIfNotStarted(fault.New(fault.Internal, "request handler wrote no response"))
	}
}

// endRequest has hertz close the connection if the response asked for it. After an unfinished response, endRequest closes
// the connection itself, so that the response does not look complete. It does not report this to hertz as an error: after
// an error, hertz would release its buffers while its disconnect watch still reads into them.
func (s *server) endRequest(c *app.RequestContext, conn *clientConn, w *responseWriter) {
	if !w.finished {
		_ = conn.Close() // an error does not matter: the connection is not used any more
	}
	if w.closeConnection || !w.finished {
		c.SetConnectionClose()
	}
}
