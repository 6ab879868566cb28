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
	// Bounds on what is read of a request at all, in bytes. Those of the configuration are checked once it has been read.
	maxHeaderRead = 64 << 10
	maxBodyRead   = 32 << 20
	// readBufferSize is the size of the buffers that requests are read into, in bytes.
	readBufferSize = 4 << 10
	// hertzTimeout is the timeout that hertz is given, longer than any. clientConn decides about timeouts.
	hertzTimeout = time.Hour
)

// defaultLimits hold before there is a configuration.
var defaultLimits = configuration.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// muteHertzLog keeps hertz from logging each client that breaks off.
var muteHertzLog sync.Once

// handler answers a request. An answer that it leaves unfinished ends with its connection.
type handler func(ctx context.Context, r *request, w *responseWriter)

// serverOptions set up a server.
type serverOptions struct {
	listener *net.TCPListener
	handle   handler
	// maxConnections bounds the connections at one time.
	maxConnections int
	// limits returns the limits of clients, as of now.
	limits func() configuration.Limits
	// draining: connections are closed after the present answer.
	draining *atomic.Bool
	// onError, if set, is called with the kind of each error that is answered.
	onError func(fault.Kind)
	log     *zap.Logger
}

// server accepts clients' connections and serves the requests that come over them. At the bound on connections, the one that
// has been idle longest makes room; if none is idle, the new one is refused.
type server struct {
	serverOptions
	hertz    *http1.Server
	contexts sync.Pool // of hertz
	// finishing: connections are closed after the request that they carry.
	finishing atomic.Bool

	mutex sync.Mutex
	conns map[*clientConn]struct{}
	// drained, if set, is closed when there is no connection left.
	drained chan struct{}
}

// newServer returns a server. Nothing is accepted before serve is called.
func newServer(options serverOptions) *server {
	s := &server{serverOptions: options, conns: map[*clientConn]struct{}{}}
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

// serveConnection serves the requests of one connection, until that ends.
func (s *server) serveConnection(ctx context.Context, conn any) error {
	client := connOf(ctx)
	defer func() { _ = client.Close() }() // a broken connection ends in any case
	err := s.hertz.Serve(ctx, conn.(network.Conn))
	if err != nil && !errors.Is(err, hertzerrors.ErrShortConnection) && !errors.Is(err, hertzerrors.ErrIdleTimeout) {
		client.discardUnread()
	}
	return err
}

// IsRunning reports to hertz that connections are kept. Answers during a drain close theirs by themselves.
func (s *server) IsRunning() bool { return true }

// GetCtxPool returns the pool of contexts for hertz.
func (s *server) GetCtxPool() *sync.Pool { return &s.contexts }

// GetTracer returns none: tracing is off.
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
		w.writeErrorIfNotStarted(fault.New(fault.Internal, "no answer"))
	}
}

// endRequest has hertz close the connection where that is due. After an unfinished answer it is closed here, so that the
// answer does not look complete. Hertz gets no error: after an error it would release its buffers while its read that detects
// whether the client leaves goes on.
func (s *server) endRequest(c *app.RequestContext, conn *clientConn, w *responseWriter) {
	if !w.finished {
		_ = conn.Close() // it ends in any case
	}
	if w.closeConnection || !w.finished {
		c.SetConnectionClose()
	}
}
