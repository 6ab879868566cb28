package control

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"nickelline/internal/control/controlapi"
	"nickelline/internal/fault"
)

func (a *api) putConfiguration(ctx context.Context, request *app.RequestContext) {
	a.configure(ctx, request, false)
}

func (a *api) patchConfiguration(ctx context.Context, request *app.RequestContext) {
	a.configure(ctx, request, true)
}

// configure handles a change of the configuration. It responds once service.Configure has returned the outcome.
func (a *api) configure(ctx context.Context, request *app.RequestContext, patch bool) {
	match, err := readMatch(string(request.GetHeader(controlapi.MatchHeader)))
	if err != nil {
		writeError(request, err)
		return
	}
	body, err := request.Body()
	if err != nil {
		writeError(request, fault.Wrap(fault.BadRequest, err))
		return
	}
	result, err := a.service.Configure(ctx, &Configure{Patch: patch, Match: match, Body: body})
	if err != nil {
		writeError(request, err)
		return
	}
	writeJSON(request, http.StatusOK, controlapi.ConfigurationAccepted{Version: result.Version})
}

// readMatch parses an If-Match header, which holds the version that a change builds on.
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
		writeError(request, err)
		return
	}
	document := state.EncodedDocument()
	if document == nil {
		writeError(request, fault.New(fault.NotFound, "no configuration has been taken yet"))
		return
	}
	request.Header("ETag", strconv.Quote(strconv.FormatUint(state.Version(), 10)))
	request.Data(http.StatusOK, "application/json", document)
}

func (a *api) postRetire(ctx context.Context, request *app.RequestContext) {
	retire, err := readRetireRequest(request)
	if err != nil {
		writeError(request, err)
		return
	}
	duration := time.Duration(retire.DurationS * float64(time.Second))
	if _, err := a.service.Retire(ctx, request.Param(nodeParameter), duration); err != nil {
		writeError(request, err)
		return
	}
	writeJSON(request, http.StatusOK, controlapi.Retirement{State: controlapi.RetirementInProgress})
}

// readRetireRequest reads the body of a retirement request, which may be empty.
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
		writeError(request, err)
		return
	}
	writeJSON(request, http.StatusOK, controlapi.Retirement{State: retirementState(retirement)})
}

func (a *api) getStatus(_ context.Context, request *app.RequestContext) {
	writeJSON(request, http.StatusOK, a.status())
}
