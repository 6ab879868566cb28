package control

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"

	"nickelline/internal/control/controlapi"
	"nickelline/internal/fault"
)

// nodeParameter is the name of the node in the path of a retirement.
const nodeParameter = "node"

// Bounds of the operator's HTTP calls.
const (
	maxBodyBytes = 8 << 20
	idleTimeout  = 30 * time.Second
	readTimeout  = 5 * time.Second
	writeTimeout = 5 * time.Second
	// shutdownTime is how long calls under way may take when the server stops.
	shutdownTimeout = time.Second
	// retryAfter is the pause that a caller is told, in seconds, when its call was certainly not carried out.
	retryAfterSeconds = "0.3"
)

// api serves the operator's calls over HTTP.
type api struct {
	service *service // nil at a node without a replica
	status  func() controlapi.Status
	// other gives the address of a node with a replica.
	other  func() (netip.AddrPort, bool)
	server *server.Hertz
}

// silenceLibrary keeps the HTTP library's own messages out of the log.
var disableLibraryLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// newAPI makes the server on a listener that is open already.
func newAPI(listener net.Listener, s *service, status func() controlapi.Status, other func() (netip.AddrPort, bool)) *api {
	disableLibraryLog()
	a := &api{service: s, status: status, other: other}
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
	a.server.PUT(controlapi.ConfigurationPath, a.atReplica(a.putConfiguration))
	a.server.PATCH(controlapi.ConfigurationPath, a.atReplica(a.patchConfiguration))
	a.server.GET(controlapi.ConfigurationPath, a.atReplica(a.getConfiguration))
	a.server.POST(controlapi.RetirePath+":"+nodeParameter, a.atReplica(a.postRetire))
	a.server.GET(controlapi.RetirePath+":"+nodeParameter, a.atReplica(a.getRetire))
	return a
}

// atReplica has a call carried out here if this node has a replica, and sends the caller on to one that has otherwise.
func (a *api) atReplica(handler app.HandlerFunc) app.HandlerFunc {
	if a.service != nil {
		return handler
	}
	return func(_ context.Context, request *app.RequestContext) {
		other, found := a.other()
		if !found {
			answerError(request, fault.New(fault.NotReady, "no node is known that keeps the control state"))
			return
		}
		request.Header("Location", "http://"+other.String()+string(request.URI().RequestURI()))
		request.SetStatusCode(http.StatusTemporaryRedirect)
	}
}

// listen opens the operator's address.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address.String())
	if err != nil {
		return nil, merry.Prepend(err, "operator's address")
	}
	return listener, nil
}

// run serves until stop is called.
func (a *api) run() error { return a.server.Run() }

// stop lets the calls under way end, up to a limit.
func (a *api) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = a.server.Shutdown(ctx)
}

func (a *api) putConfiguration(ctx context.Context, request *app.RequestContext) {
	a.configure(ctx, request, false)
}

func (a *api) patchConfiguration(ctx context.Context, request *app.RequestContext) {
	a.configure(ctx, request, true)
}

func (a *api) configure(ctx context.Context, request *app.RequestContext, patch bool) {
	match, err := readMatch(string(request.GetHeader(controlapi.MatchHeader)))
	if err != nil {
		answerError(request, err)
		return
	}
	body, err := request.Body()
	if err != nil {
		answerError(request, fault.Wrap(fault.BadRequest, err))
		return
	}
	result, err := a.service.Configure(ctx, &Configure{Patch: patch, Match: match, Body: body})
	if err != nil {
		answerError(request, err)
		return
	}
	answerJSON(request, http.StatusOK, controlapi.ConfigurationAccepted{Version: result.Version})
}

// readMatch reads the version that an order builds on.
func readMatch(header string) (uint64, error) {
	text := strings.Trim(strings.TrimSpace(header), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "If-Match %q is not a version", header)
	}
	return version, nil
}

func (a *api) getConfiguration(ctx context.Context, request *app.RequestContext) {
	state, err := a.service.Read(ctx)
	if err != nil {
		answerError(request, err)
		return
	}
	document := state.EncodedDocument()
	if document == nil {
		answerError(request, fault.New(fault.NotFound, "no configuration has been taken yet"))
		return
	}
	request.Header("ETag", strconv.Quote(strconv.FormatUint(state.Version(), 10)))
	request.Data(http.StatusOK, "application/json", document)
}

func (a *api) postRetire(ctx context.Context, request *app.RequestContext) {
	retire, err := readRetireRequest(request)
	if err != nil {
		answerError(request, err)
		return
	}
	duration := time.Duration(retire.DurationS * float64(time.Second))
	if _, err := a.service.Retire(ctx, request.Param(nodeParameter), duration); err != nil {
		answerError(request, err)
		return
	}
	answerJSON(request, http.StatusOK, controlapi.Retirement{State: controlapi.RetirementInProgress})
}

func readRetireRequest(request *app.RequestContext) (controlapi.RetireRequest, error) {
	var retire controlapi.RetireRequest
	body, err := request.Body()
	if err != nil {
		return retire, fault.Wrap(fault.BadRequest, err)
	}
	if len(body) == 0 {
		return retire, nil
	}
	if err := json.Unmarshal(body, &retire); err != nil {
		return retire, fault.Wrap(fault.BadRequest, err)
	}
	return retire, nil
}

func (a *api) getRetire(ctx context.Context, request *app.RequestContext) {
	retirement, err := a.service.Retirement(ctx, request.Param(nodeParameter))
	if err != nil {
		answerError(request, err)
		return
	}
	answerJSON(request, http.StatusOK, controlapi.Retirement{State: retirementState(retirement)})
}

func (a *api) getStatus(_ context.Context, request *app.RequestContext) {
	answerJSON(request, http.StatusOK, a.status())
}

func answerError(request *app.RequestContext, err error) {
	answer := fault.AnswerOf(fault.KindOf(err))
	if answer.NotExecuted {
		request.Header("Retry-After", retryAfterSeconds)
	}
	answerJSON(request, answer.Status, controlapi.ErrorBody{Error: errorText(err)})
}

func errorText(err error) string {
	if text := merry.UserMessage(err); text != "" {
		return text
	}
	return err.Error()
}

func answerJSON(request *app.RequestContext, status int, reply any) {
	body, err := json.Marshal(reply)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	request.Data(status, "application/json", body)
}

// closedServer tells whether the error of a server means that it was stopped.
func isServerClosed(err error) bool { return err == nil || errors.Is(err, net.ErrClosed) }
