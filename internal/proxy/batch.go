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
	// maxResultsWait bounds how long a request for results waits for the first one.
	maxResultsWait = time.Second
	// defaultBatchTimeout is the timeout of a batch API request if the client states none.
	defaultBatchTimeout = 2 * time.Second
)

// BatchAPI stores batch jobs and returns their results. Its errors have kinds of package fault: NotFound if the job or
// item does not exist, QuotaExceeded, Overloaded or NotReady if nothing was stored, and Unclear if it is not known
// whether anything was.
type BatchAPI interface {
	// Submit stores a job, whose body is as the client sent it. It returns nil once the job is stored durably.
	Submit(ctx context.Context, tenant string, route *configuration.Route, job string, body []byte) error
	// Results returns the results after position startAfter. It waits up to wait for the first one.
	Results(ctx context.Context, tenant, job string, startAfter int, wait time.Duration) (batch.Page, error)
	// ItemBody returns the body of an item that is not listed in the results yet.
	ItemBody(ctx context.Context, tenant, job, item string) ([]byte, error)
	// End ends a job. Ending a job that has already ended is no error.
	End(ctx context.Context, tenant, job string) error
}

// resultsResponse is the body of the response to a request for results.
type resultsResponse struct {
	Total     int           `json:"total"`
	NextToken int           `json:"nextToken"`
	Results   []resultEntry `json:"results"`
}

type resultEntry struct {
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
	response := resultsResponse{Total: page.Total, NextToken: page.Next, Results: make([]resultEntry, 0, len(page.Results))}
	for _, listed := range page.Results {
		state, err := stateName(listed.State)
		if err != nil {
			return nil, err
		}
		response.Results = append(response.Results, resultEntry{
			Identifier: listed.Identifier,
			State:      state,
			Content:    string(listed.Content),
		})
	}
	return json.Marshal(response)
}

// stateName returns the state of a listed result as clients read it. A state that this program does not know, as a newer store may
// send, is an error: a client must not take it for another one.
func stateName(state batch.State) (string, error) {
	switch state {
	case batch.Completed:
		return stateCompleted, nil
	case batch.Abandoned:
		return stateAbandoned, nil
	default:
		return "", fault.New(fault.NotReady, "a store lists a result in state %d", state)
	}
}

// isBatchRequest reports whether a path belongs to the batch API for jobs that have been submitted.
func isBatchRequest(path string) bool {
	return strings.HasPrefix(path, jobPrefix) || strings.HasPrefix(path, itemPrefix)
}

// serveBatchRequest serves a batch API request about a job that has been submitted.
func (p *Proxy) serveBatchRequest(ctx context.Context, r *request, w *responseWriter) {
	current, err := p.configuration()
	if err != nil {
		w.writeError(err)
		return
	}
	tenant, err := p.jobOwner(current, r)
	if err != nil {
		w.writeError(err)
		return
	}
	if p.options.Batch == nil {
		w.writeError(fault.New(fault.NotReady, "batch jobs are not served"))
		return
	}
	jobs := ownedJobs{api: p.options.Batch, tenant: tenantName(tenant), hidden: tenant == nil && current.RequiresKey()}
	query, err := url.ParseQuery(r.query())
	if err != nil {
		w.writeError(fault.Wrap(fault.BadRequest, err))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.startedAt.Add(r.clientTimeout(defaultBatchTimeout)+maxResultsWait))
	defer cancel()
	if jobOfItem, found := strings.CutPrefix(r.path, itemPrefix); found {
		jobs.serveItemBody(ctx, r, w, jobOfItem, query)
		return
	}
	job := strings.TrimPrefix(r.path, jobPrefix)
	switch r.method {
	case http.MethodGet:
		jobs.serveResults(ctx, r, w, job, query)
	case http.MethodDelete:
		jobs.serveEnd(ctx, w, job)
	default:
		w.writeError(fault.New(fault.BadRequest, "method is not supported for batch jobs"))
	}
}

// serveResults serves a request for results.
func (o *ownedJobs) serveResults(ctx context.Context, r *request, w *responseWriter, job string, query url.Values) {
	startAfter := 0
	if text := query.Get("startAfter"); text != "" {
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 {
			w.writeError(fault.New(fault.BadRequest, "startAfter is not a non-negative integer"))
			return
		}
		startAfter = value
	}
	page, err := o.results(ctx, job, startAfter, r.resultsWait())
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

// serveItemBody serves a request for the body of an item of a job; the query names the item.
func (o *ownedJobs) serveItemBody(ctx context.Context, r *request, w *responseWriter, job string, query url.Values) {
	if r.method != http.MethodGet {
		w.writeError(fault.New(fault.BadRequest, "method is not supported for batch items"))
		return
	}
	body, err := o.itemBody(ctx, job, query.Get("identifier"))
	if err != nil {
		w.writeError(err)
		return
	}
	w.write(http.StatusOK, http.Header{"Content-Type": {"application/octet-stream"}}, body)
}

// serveEnd serves a request to end a job.
func (o *ownedJobs) serveEnd(ctx context.Context, w *responseWriter, job string) {
	if err := o.end(ctx, job); err != nil {
		w.writeError(err)
		return
	}
	w.writeJSON(http.StatusOK, []byte("{}"))
}

// serveSubmission serves the submission of a batch job.
func (p *Proxy) serveSubmission(ctx context.Context, r *request, w *responseWriter, route *configuration.Route, tenant string) {
	if p.options.Batch == nil {
		w.writeError(fault.New(fault.NotReady, "batch jobs are not served"))
		return
	}
	if r.method != http.MethodPost {
		w.writeError(fault.New(fault.BadRequest, "batch jobs are submitted with POST"))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.startedAt.Add(r.clientTimeout(defaultBatchTimeout)))
	defer cancel()
	if err := p.options.Batch.Submit(ctx, tenant, route, r.attemptID, r.body); err != nil {
		w.writeError(err)
		return
	}
	w.writeJSON(http.StatusAccepted, []byte("{}"))
}

// resultsWait returns how long a request for results may wait for the first one.
func (r *request) resultsWait() time.Duration {
	ms, err := strconv.ParseFloat(r.header.Get(headerWait), 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return min(milliseconds(ms), maxResultsWait)
}

// clientTimeout returns the timeout that the client states, or fallback if it states none.
func (r *request) clientTimeout(fallback time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(r.header.Get(forward.HeaderDeadlineRemaining), 64)
	if err != nil || !(ms >= 0) {
		return fallback
	}
	return milliseconds(ms)
}

// milliseconds converts a number of milliseconds that a client sent, bounded by maxClientTimeout.
func milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, maxClientTimeout.Seconds()*1e3) * float64(time.Millisecond))
}
