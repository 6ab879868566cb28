package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"

	"nickelline/internal/control/controlapi"
	"nickelline/internal/fault"
)

// nodeParameter is the name of the path parameter that holds the node to retire.
const nodeParameter = "node"

// Bounds of the operator's HTTP calls.
const (
	maxBodyBytes = 8 << 20
	idleTimeout  = 30 * time.Second
	readTimeout  = 5 * time.Second
	writeTimeout = 5 * time.Second
	// shutdownTimeout is how long the server waits for calls in progress when it stops.
	shutdownTimeout = time.Second
	// stopInterval is the time between two attempts to stop a server that is about to serve.
	stopInterval = time.Millisecond
)

// api serves the operator's calls over HTTP.
type api struct {
	service *service // nil at a node without a replica
	status  func() controlapi.Status
	// otherNode returns the operator's address of another node with a replica, and whether one is known.
	otherNode func() (netip.AddrPort, bool)
	server    *server.Hertz
	listener  net.Listener

	mutex   sync.Mutex
	stopped bool
	ended   chan struct{} // closed when run has returned; nil before run
}

// disableLibraryLog keeps the HTTP library's own messages out of the log.
var disableLibraryLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// newAPI returns a server on an open listener, which stop closes.
func newAPI(listener net.Listener, s *service, status func() controlapi.Status, otherNode func() (netip.AddrPort, bool)) *api {
	disableLibraryLog()
	a := &api{service: s, status: status, otherNode: otherNode, listener: listener}
	a.server = server.New(
		server.WithListener(listener),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithReadTimeout(readTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
	)
	a.server.GET(controlapi.StatusPath, a.getStatus)
	a.server.PUT(controlapi.ConfigurationPath, a.requireReplica(a.putConfiguration))
	a.server.PATCH(controlapi.ConfigurationPath, a.requireReplica(a.patchConfiguration))
	a.server.GET(controlapi.ConfigurationPath, a.requireReplica(a.getConfiguration))
	a.server.POST(controlapi.RetirePath+":"+nodeParameter, a.requireReplica(a.postRetire))
	a.server.GET(controlapi.RetirePath+":"+nodeParameter, a.requireReplica(a.getRetire))
	return a
}

// requireReplica returns the handler itself if this node has a replica, and otherwise a handler that redirects to a node with
// one.
func (a *api) requireReplica(handler app.HandlerFunc) app.HandlerFunc {
	if a.service != nil {
		return handler
	}
	return func(_ context.Context, request *app.RequestContext) {
		other, found := a.otherNode()
		if !found {
			writeError(request, fault.New(fault.NotReady, "no node is known that keeps the control state"))
			return
		}
		request.Header("Location", "http://"+other.String()+string(request.URI().RequestURI()))
		request.SetStatusCode(http.StatusTemporaryRedirect)
	}
}

// listen opens a TCP listener at the operator's address.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address.String())
	if err != nil {
		return nil, merry.Prepend(err, "listen at the operator's address")
	}
	return listener, nil
}

// run serves until stop is called. It returns at once if stop was called before.
func (a *api) run() error {
	if !a.beginRun() {
		return nil
	}
	defer close(a.ended)
	return a.server.Run()
}

// beginRun records that run was called, and reports whether it may serve.
func (a *api) beginRun() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.stopped {
		return false
	}
	a.ended = make(chan struct{})
	return true
}

// stop waits up to shutdownTimeout for the calls in progress, and closes the listener.
func (a *api) stop() {
	a.mutex.Lock()
	a.stopped = true
	ended := a.ended
	a.mutex.Unlock()
	if ended == nil {
		_ = a.listener.Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = a.server.Shutdown(ctx) // callers repeat interrupted calls at other nodes
	a.closeUntilEnded(ended)
	_ = a.listener.Close() // closed already unless the server failed
}

// closeUntilEnded closes the server until run has returned: a server that was about to serve when it was shut down serves
// nevertheless. The listener must not be closed instead, since the server panics if it cannot accept connections.
func (a *api) closeUntilEnded(ended <-chan struct{}) {
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			_ = a.server.Close() // fails until the server serves
		}
	}
}

// isServerClosed reports whether the error of a server means that it was stopped.
func isServerClosed(err error) bool { return err == nil || errors.Is(err, net.ErrClosed) }
