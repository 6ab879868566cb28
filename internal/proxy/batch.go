package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
)

const (
	jobPrefix  = "/-/lots/"
	itemPrefix = "/-/items/"

	headerWait = "Nickelline-Wait-Timeout-Ms"
	// maxResultsWait bounds how long a read of results waits for the first one.
	maxResultsWait = time.Second
	// batchPatience is how long a call about a batch job may take if the client does not say.
	batchPatience = 2 * time.Second
)

// BatchAPI serves the calls about batch jobs. Errors are of package fault: NotFound if the job or item does not exist,
// QuotaExceeded, Overloaded and NotReady if nothing was taken, Unclear if that is not known.
type BatchAPI interface {
	// Submit takes a job, whose body is as the client sent it. It returns nil once the job is stored durably.
	Submit(ctx context.Context, tenant string, route *configuration.Route, job string, body []byte) error
	// Results returns results after a position. It waits up to a time for the first one.
	Results(ctx context.Context, tenant, job string, startAfter int, wait time.Duration) (batch.Page, error)
	// ItemBody returns the body of an item that is not listed yet.
	ItemBody(ctx context.Context, tenant, job, item string) ([]byte, error)
	// End ends a job. It is no error if that was ended before.
	End(ctx context.Context, tenant, job string) error
}

// resultsAnswer is the answer to a read of results.
type resultsAnswer struct {
	Total     int            `json:"total"`
	NextToken int            `json:"nextToken"`
	Results   []resultAnswer `json:"results"`
}

type resultAnswer struct {
	Identifier string `json:"identifier"`
	State      string `json:"state"`
	Content    string `json:"content"`
}

const (
	stateCompleted = "completed"
	stateAbandoned = "abandoned"
)

// encodeResults returns a page of results as JSON.
func encodeResults(page batch.Page) ([]byte, error) {
	answer := resultsAnswer{Total: page.Total, NextToken: page.Next, Results: make([]resultAnswer, 0, len(page.Results))}
	for _, listed := range page.Results {
		state := stateAbandoned
		if listed.State == batch.Completed {
			state = stateCompleted
		}
		answer.Results = append(answer.Results, resultAnswer{
			Identifier: listed.Identifier,
			State:      state,
			Content:    string(listed.Content),
		})
	}
	return json.Marshal(answer)
}

// isBatchCall reports whether a path belongs to the calls about jobs that were submitted before.
func isBatchCall(path string) bool {
	return strings.HasPrefix(path, jobPrefix) || strings.HasPrefix(path, itemPrefix)
}

// serveBatchCall answers a call about a job that was submitted before.
func (p *Proxy) serveBatchCall(ctx context.Context, r *request, w *responseWriter) {
	snapshot, err := p.snapshot()
	if err != nil {
		w.writeError(err)
		return
	}
	tenant, err := p.callTenant(snapshot, r)
	if err != nil {
		w.writeError(err)
		return
	}
	if p.options.Batch == nil {
		w.writeError(fault.New(fault.NotReady, "batch jobs are not served"))
		return
	}
	query, err := url.ParseQuery(r.query())
	if err != nil {
		w.writeError(fault.Wrap(fault.BadRequest, err))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.startedAt.Add(r.patience(batchPatience)+maxResultsWait))
	defer cancel()
	if item, found := strings.CutPrefix(r.path, itemPrefix); found {
		p.serveItemBody(ctx, r, w, tenant, item, query)
		return
	}
	job := strings.TrimPrefix(r.path, jobPrefix)
	switch r.method {
	case http.MethodGet:
		p.serveResults(ctx, r, w, tenant, job, query)
	case http.MethodDelete:
		p.serveEnd(ctx, w, tenant, job)
	default:
		w.writeError(fault.New(fault.BadRequest, "no such call"))
	}
}

// serveResults answers a read of results.
func (p *Proxy) serveResults(ctx context.Context, r *request, w *responseWriter, tenant, job string, query url.Values) {
	startAfter := 0
	if text := query.Get("startAfter"); text != "" {
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 {
			w.writeError(fault.New(fault.BadRequest, "startAfter is not a position"))
			return
		}
		startAfter = value
	}
	page, err := p.options.Batch.Results(ctx, tenant, job, startAfter, r.resultsWait())
	if err != nil {
		w.writeError(err)
		return
	}
	body, err := encodeResults(page)
	if err != nil {
		w.writeError(err)
		return
	}
	w.writeJSON(http.StatusOK, body)
}

// serveItemBody answers a read of the body of an item.
func (p *Proxy) serveItemBody(ctx context.Context, r *request, w *responseWriter, tenant, job string, query url.Values) {
	if r.method != http.MethodGet {
		w.writeError(fault.New(fault.BadRequest, "no such call"))
		return
	}
	body, err := p.options.Batch.ItemBody(ctx, tenant, job, query.Get("identifier"))
	if err != nil {
		w.writeError(err)
		return
	}
	w.write(http.StatusOK, http.Header{"Content-Type": {"application/octet-stream"}}, body)
}

// serveEnd ends a job.
func (p *Proxy) serveEnd(ctx context.Context, w *responseWriter, tenant, job string) {
	if err := p.options.Batch.End(ctx, tenant, job); err != nil {
		w.writeError(err)
		return
	}
	w.writeJSON(http.StatusOK, []byte("{}"))
}

// serveSubmission takes a batch job.
func (p *Proxy) serveSubmission(ctx context.Context, r *request, w *responseWriter, route *configuration.Route, tenant string) {
	if p.options.Batch == nil {
		w.writeError(fault.New(fault.NotReady, "batch jobs are not served"))
		return
	}
	if r.method != http.MethodPost {
		w.writeError(fault.New(fault.BadRequest, "a batch job is submitted by POST"))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.startedAt.Add(r.patience(batchPatience)))
	defer cancel()
	if err := p.options.Batch.Submit(ctx, tenant, route, r.attemptID, r.body); err != nil {
		w.writeError(err)
		return
	}
	w.writeJSON(http.StatusAccepted, []byte("{}"))
}

// resultsWait returns how long a read of results may wait for the first one.
func (r *request) resultsWait() time.Duration {
	ms, err := strconv.ParseFloat(r.header.Get(headerWait), 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return min(milliseconds(ms), maxResultsWait)
}

// patience returns how long the client waits, or a default if it does not say.
func (r *request) patience(fallback time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(r.header.Get(forward.HeaderDeadline), 64)
	if err != nil || !(ms >= 0) {
		return fallback
	}
	return milliseconds(ms)
}

// milliseconds converts a number that a client sent.
func milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, maxPatience.Seconds()*1e3) * float64(time.Millisecond))
}
