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
	headerBound = 64 << 10
	bodyBound   = 32 << 20
	// readBuffer is the size of the buffers that requests are read into.
	readBuffer = 4 << 10
	// hertzTimeout is what hertz is told of time-outs. clientConn decides about them.
	hertzTimeout = time.Hour
	// acceptPause is waited when no connection can be accepted, as when descriptors run out.
	acceptPause = 50 * time.Millisecond

	readinessConnections = 64
	refusal              = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalWait          = 20 * time.Millisecond
)

// defaultLimits hold before there is a configuration.
var defaultLimits = configuration.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// silenceHertz keeps hertz from telling of each client that breaks off.
var silenceHertz sync.Once

// handler answers a request. An answer that it leaves unfinished ends with its connection.
type handler func(ctx context.Context, r *request, w *answerWriter)

// ingress accepts clients' connections, always, and serves the requests that come over them. At the bound on connections
// the one that has waited longest for a request makes room, else the new one is refused.
type ingress struct {
	listener *net.TCPListener
	server   *http1.Server
	handle   handler
	bound    int
	limits   func() configuration.Limits
	draining *atomic.Bool
	// faulted, if set, is called with the kind of each error that is answered.
	faulted  func(fault.Kind)
	contexts sync.Pool
	log      *zap.Logger
	// finishing: connections are closed behind the request that is open on them.
	finishing atomic.Bool

	mutex sync.Mutex
	conns map[*clientConn]struct{}
	// empty is closed when there is no connection left, if it is set.
	empty chan struct{}
}

func newIngress(
	listener *net.TCPListener, handle handler, bound int, limits func() configuration.Limits, draining *atomic.Bool, log *zap.Logger,
) *ingress {
	i := &ingress{
		listener: listener, handle: handle, bound: bound, limits: limits, draining: draining, log: log,
		conns: map[*clientConn]struct{}{},
	}
	silenceHertz.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
	i.contexts.New = func() any { return app.NewContext(0) }
	i.server = http1.NewServer()
	i.server.Core = i
	i.server.Option = http1.Option{
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           bodyBound,
		MaxHeaderBytes:               headerBound,
		IdleTimeout:                  hertzTimeout,
		ReadTimeout:                  hertzTimeout,
	}
	return i
}

// serve accepts connections until the listener is closed.
func (i *ingress) serve() error {
	transport := standard.NewTransporter(&config.Options{
		Listener:                 &listener{TCPListener: i.listener, ingress: i},
		ReadBufferSize:           readBuffer,
		SenseClientDisconnection: true,
		OnAccept:                 func(c net.Conn) context.Context { return withConn(c.(*clientConn)) },
	})
	return transport.ListenAndServe(i.serveConnection)
}

func (i *ingress) serveConnection(ctx context.Context, conn any) error {
	client := connOf(ctx)
	defer client.Close()
	err := i.server.Serve(ctx, conn.(network.Conn))
	if err != nil && !errors.Is(err, hertzerrors.ErrShortConnection) && !errors.Is(err, hertzerrors.ErrIdleTimeout) {
		client.discardUnread()
	}
	return err
}

// listener accepts connections for hertz.
type listener struct {
	*net.TCPListener
	ingress *ingress
}

// Accept gives the next connection that there is room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.ingress.log.Warn("accept", zap.Error(err))
			l.ingress.evict()
			time.Sleep(acceptPause)
			continue
		}
		if c := l.ingress.admit(tcp); c != nil {
			return c, nil
		}
		turnAway(tcp)
	}
}

// admit takes a connection in, or gives nil if there is no room.
func (i *ingress) admit(tcp *net.TCPConn) *clientConn {
	if i.full() && !i.evict() {
		return nil
	}
	c, err := newClientConn(tcp, i)
	if err != nil {
		return nil
	}
	i.mutex.Lock()
	i.conns[c] = struct{}{}
	i.mutex.Unlock()
	if i.finishing.Load() {
		c.closeIfWaiting()
	}
	return c
}

func (i *ingress) full() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.conns) >= i.bound
}

// evict closes the connection that has waited longest for a request. It tells whether there was one.
func (i *ingress) evict() bool {
	var oldest *clientConn
	var oldestSince time.Time
	for _, c := range i.all() {
		since, idle := c.waitingSince()
		if idle && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	return oldest != nil && oldest.closeIfWaiting()
}

func (i *ingress) all() []*clientConn {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	all := make([]*clientConn, 0, len(i.conns))
	for c := range i.conns {
		all = append(all, c)
	}
	return all
}

func (i *ingress) forget(c *clientConn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.conns, c)
	if len(i.conns) == 0 && i.empty != nil {
		close(i.empty)
		i.empty = nil
	}
}

// turnAway answers a connection that there is no room for.
func turnAway(tcp *net.TCPConn) {
	tcp.SetWriteDeadline(time.Now().Add(refusalWait))
	tcp.Write([]byte(refusal))
	tcp.CloseWrite()
	tcp.Close()
}

// finish accepts no more connections, closes those without a request, and waits until the others have had their answers.
func (i *ingress) finish(ctx context.Context) {
	i.listener.Close()
	i.finishing.Store(true)
	for _, c := range i.all() {
		c.closeIfWaiting()
	}
	select {
	case <-i.noneLeft():
	case <-ctx.Done():
	}
}

// noneLeft gives a channel that is closed once there is no connection.
func (i *ingress) noneLeft() <-chan struct{} {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	none := make(chan struct{})
	if len(i.conns) == 0 {
		close(none)
		return none
	}
	i.empty = none
	return none
}

func (i *ingress) close() {
	i.listener.Close()
	for _, c := range i.all() {
		c.Close()
	}
}

// IsRunning tells hertz that connections are kept. Answers during a drain say themselves that theirs is closed.
func (i *ingress) IsRunning() bool { return true }

// GetCtxPool gives hertz its contexts.
func (i *ingress) GetCtxPool() *sync.Pool { return &i.contexts }

// GetTracer gives none: tracing is off.
func (i *ingress) GetTracer() tracer.Controller { return nil }

// ServeHTTP takes a request that hertz has read, and answers it.
func (i *ingress) ServeHTTP(ctx context.Context, c *app.RequestContext) {
	conn := connOf(ctx)
	w := &answerWriter{conn: conn, draining: i.draining, faulted: i.faulted}
	c.Response.HijackWriter(w)
	defer func() {
		if cause := recover(); cause != nil {
			i.log.Error("panic", zap.Any("cause", cause), zap.Stack("stack"))
		}
		i.end(c, conn, w)
	}()
	r, err := readRequest(&c.Request, i.limits(), conn.requestBegan())
	if err != nil {
		w.closing = true
		w.fault(err)
		return
	}
	w.id = r.id
	w.bodiless = r.method == methodHead
	w.closing = r.closing
	i.handle(ctx, r, w)
	if !w.finished && ctx.Err() == nil {
		w.faultIfUnbegun(fault.New(fault.Internal, "no answer"))
	}
}

// end has hertz close the connection where that is due. Behind an unfinished answer it is closed here, so that the answer
// does not look complete. Hertz is told of no error: over an error it would release its buffers while its read that senses
// whether the client leaves goes on.
func (i *ingress) end(c *app.RequestContext, conn *clientConn, w *answerWriter) {
	if !w.finished {
		conn.Close()
	}
	if w.closing || !w.finished {
		c.SetConnectionClose()
	}
}
