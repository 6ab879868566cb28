package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// freshClient opens a new connection for each request.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// reply is the answer to a request: status 0 stands for none.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request on a fresh connection.
func send(method, address, host, path, key string, header map[string]string, body []byte, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := freshClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: text, err: err}
}

// configure sends an order of the operator until it has a clear answer, to the nodes in turn. It returns the last status.
func (r *rig) configure(method string, match int, document any) int {
	body, _ := json.Marshal(document)
	deadline := time.Now().Add(startTimeout)
	status := 0
	for n := 0; time.Now().Before(deadline); n++ {
		answer := send(method, r.operator(n%3+1), "", "/-/configuration", "", map[string]string{
			"If-Match": fmt.Sprint(match), "Content-Type": "application/json",
		}, body, 2*time.Second)
		status = answer.status
		r.logf("operator: %s on version %d: %d %.200s", method, match, answer.status, answer.body)
		if status == http.StatusOK || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// item is an item of a batch job.
type item struct {
	Identifier string            `json:"identifier"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       string            `json:"body"`
	TokenCount int               `json:"tokenCount"`
}

// newItems returns items with the given number of events each.
func newItems(count int, path string, events int) []item {
	items := make([]item, count)
	for i := range items {
		id := newID()
		items[i] = item{
			Identifier: id, Path: fmt.Sprintf("%s%d", path, i),
			Headers: map[string]string{
				"Nickelline-Model-Name": "m", "Nickelline-Token-Usage": fmt.Sprintf("10,%d", events), "Nickelline-Prompt-Prefix": id + ":10",
			},
			Body: base64.StdEncoding.EncodeToString([]byte("question " + id)), TokenCount: 10 + events,
		}
	}
	return items
}

// submit sends a batch job until it is accepted or the time is over, to the proxies in turn. It returns the last status.
func (r *rig) submit(host, path, key, job string, items []item, first int, limit time.Duration) int {
	body, _ := json.Marshal(map[string]any{"batchItems": items})
	deadline := time.Now().Add(limit)
	for n := first; ; n++ {
		answer := send(http.MethodPost, r.frontend(n%3+1), host, path, key, map[string]string{
			"Nickelline-Attempt-Id": job, "Content-Type": "application/json", "Nickelline-Deadline-Remaining-Ms": "4000",
		}, body, 4*time.Second)
		r.logf("client: batch job %s with %d items at proxy %d: %d", job, len(items), n%3+1, answer.status)
		if answer.status == http.StatusAccepted || time.Now().After(deadline) {
			return answer.status
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// result is a listed result.
type result struct {
	Identifier string `json:"identifier"`
	State      string `json:"state"`
	Content    string `json:"content"`
}

type page struct {
	Total     int      `json:"total"`
	NextToken int      `json:"nextToken"`
	Results   []result `json:"results"`
}

// results reads all listed results of a batch job from a proxy. It returns the status of the last answer.
func (r *rig) results(proxy int, host, key, job string) ([]result, int, int) {
	var all []result
	for {
		answer := send(http.MethodGet, r.frontend(proxy), host, fmt.Sprintf("/-/lots/%s?startAfter=%d", job, len(all)), key, nil, nil, 3*time.Second)
		if answer.status != http.StatusOK {
			return all, 0, answer.status
		}
		var p page
		if err := json.Unmarshal(answer.body, &p); err != nil {
			return all, 0, 0
		}
		all = append(all, p.Results...)
		if len(p.Results) == 0 || len(all) >= p.Total {
			return all, p.Total, answer.status
		}
	}
}

// resultsFromAny reads from the proxies in turn until one answers with 200, for ten seconds at most.
func (r *rig) resultsFromAny(host, key, job string) ([]result, int, error) {
	status := 0
	for deadline, n := time.Now().Add(10*time.Second), 0; time.Now().Before(deadline); n++ {
		var all []result
		var total int
		all, total, status = r.results(n%3+1, host, key, job)
		if status == http.StatusOK {
			return all, total, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, 0, fmt.Errorf("batch job %s cannot be read, last status %d", job, status)
}

// route returns a route of the configuration.
func route(name, host, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "routeKind": kind, "service": service, "timeoutMs": 5000,
		"targetLatencyMs": 400, "priority": 0, "maxAttempts": 2, "public": false, "sessionAffinity": false, "resumable": false,
	}
	if kind == "batch_processing" {
		r["completionTargetMs"], r["retentionS"], r["maxQueuedTokens"], r["maxAttempts"], r["resumable"] = 12000, 40, 720000, 3, true
		r["gap_aim_ms"] = 150
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

func service(name string, slots int) map[string]any {
	s := map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 100, "protocol": "h1", "transportSecurity": false}
	if slots > 0 {
		s["inferenceEngine"] = map[string]any{
			"capacitySlots": slots, "cacheTokenCapacity": 305000, "tokenSizeBytes": 131072, "linkMbps": 700000.0, "stride": 11,
			"models": []any{map[string]any{"name": "m"}},
		}
	}
	return s
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 0, "burstSize": 0}
}

func document(version int, routes, services, tenants []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// states counts results by state.
func states(all []result) string {
	counts := map[string]int{}
	for _, result := range all {
		counts[result.State]++
	}
	return strings.TrimPrefix(fmt.Sprint(counts), "map")
}
